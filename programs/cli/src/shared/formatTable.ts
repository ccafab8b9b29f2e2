/** Formats rows as left-aligned columns below a header. An undefined cell is printed as "-". */
export const formatTable = (header: readonly string[], rows: readonly (readonly (string | number | undefined)[])[]): string => {
    const cells = [header, ...rows].map(row => row.map(cell => cell === undefined ? "-" : String(cell)));
    const widths = header.map((_name, column) => Math.max(...cells.map(row => row[column]!.length)));
    return cells.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()).join("\n");
};
