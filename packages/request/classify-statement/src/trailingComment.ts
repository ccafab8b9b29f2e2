const OPENING = "/*";
const CLOSING = "*/";

/** Start and end of the comment that ends a text. */
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

/** The body of the comment that ends a text; empty when there is none. */
export const readTrailingComment = (text: string): string => {
    const range = findRange(text);
    return range === undefined ? "" : text.slice(range.start + OPENING.length, range.end - CLOSING.length);
};

/** A text without the comment that ends it. */
export const stripTrailingComment = (text: string): string => {
    const range = findRange(text);
    return range === undefined ? text : text.slice(0, range.start).trimEnd();
};
