const LOW_HALF = 2 ** 32;

/** Parses a log sequence number such as "16/B374D848" into bytes; undefined when it is malformed. */
export const parseLogSequenceNumber = (text: string): number | undefined => {
    const match = /^([0-9A-F]{1,8})\/([0-9A-F]{1,8})$/i.exec(text);
    if (match === null) {
        return undefined;
    }
    return parseInt(match[1]!, 16) * LOW_HALF + parseInt(match[2]!, 16);
};

/** Formats a log position in bytes as PostgreSQL does. */
export const formatLogSequenceNumber = (position: number): string => {
    const high = Math.floor(position / LOW_HALF).toString(16).toUpperCase();
    const low = (position % LOW_HALF).toString(16).toUpperCase();
    return `${high}/${low}`;
};
