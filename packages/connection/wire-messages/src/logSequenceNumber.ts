const LOW_WORD_RANGE = 2 ** 32;

/** Parses a log sequence number such as "16/B374D848" into a position in bytes. @returns undefined if malformed */
export const parseLogSequenceNumber = (text: string): number | undefined => {
    const match = /^([0-9A-F]{1,8})\/([0-9A-F]{1,8})$/i.exec(text);
    if (match === null) {
        return undefined;
    }
    return parseInt(match[1]!, 16) * LOW_WORD_RANGE + parseInt(match[2]!, 16);
};

/** Formats a log position in bytes as a PostgreSQL log sequence number. */
export const formatLogSequenceNumber = (position: number): string => {
    const high = Math.floor(position / LOW_WORD_RANGE).toString(16).toUpperCase();
    const low = (position % LOW_WORD_RANGE).toString(16).toUpperCase();
    return `${high}/${low}`;
};
