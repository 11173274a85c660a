/** Input of {@link renderTable}. */
export interface TablePage {
  readonly title: string;
  readonly note: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** Renders a Markdown page with one table, padded the way `deno fmt` pads tables. */
export function renderTable(page: TablePage): string {
  const cells = page.rows.map((row) => row.map((cell) => String(cell)));
  const widths = page.columns.map((column, index) =>
    Math.max(3, column.length, ...cells.map((row) => row[index]?.length ?? 0))
  );
  const renderRow = (row: readonly string[]) =>
    `| ${row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(" | ")} |`;
  const separator = `| ${widths.map((width) => "-".repeat(width)).join(" | ")} |`;
  const table = [renderRow(page.columns), separator, ...cells.map(renderRow)].join("\n");
  return `# ${page.title}\n\n${page.note}\n${table}\n`;
}
