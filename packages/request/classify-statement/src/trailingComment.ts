const OPENING = "/*";
const CLOSING = "*/";

/** Range of the comment at the end of a text, including its delimiters; `end` is exclusive. */
interface CommentRange {
    readonly start: number;
    readonly end: number;
}

const findRange = (text: string): CommentRange | undefined => {
    const { length } = text.trimEnd().replace(/;$/, "").trimEnd();
    const trimmed = text.slice(0, length);
    const start = trimmed.endsWith(CLOSING) ? trimmed.lastIndexOf(OPENING, length - OPENING.length - CLOSING.length) : -1;
    return start < 0 ? undefined : { start, end: length };
};

/** Returns the body of the comment at the end of a text, before an optional semicolon; empty when there is none. */
export const readTrailingComment = (text: string): string => {
    const range = findRange(text);
    return range === undefined ? "" : text.slice(range.start + OPENING.length, range.end - CLOSING.length);
};

/** Returns a text without the comment at its end and what follows it. A text without such a comment is returned unchanged. */
export const stripTrailingComment = (text: string): string => {
    const range = findRange(text);
    return range === undefined ? text : text.slice(0, range.start).trimEnd();
};
