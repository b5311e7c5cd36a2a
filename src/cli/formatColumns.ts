/** Formats rows as aligned columns under a heading. */
export default function formatColumns(heading: string[], rows: string[][]): string {
  const all = [heading, ...rows];
  const widths = heading.map((_, column) => Math.max(...all.map((row) => row[column].length)));
  return all
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
