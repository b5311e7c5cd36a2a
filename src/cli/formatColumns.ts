/** Formats rows as aligned columns below a heading row. */
export default function formatColumns(heading: string[], rows: string[][]): string {
  const lines = [heading, ...rows];
  const widths = heading.map((_, column) => Math.max(...lines.map((row) => row[column].length)));
  return lines
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
