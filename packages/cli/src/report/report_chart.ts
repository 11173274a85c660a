/** One line of a chart: values by second since the first log line. */
export interface ChartSeries {
  readonly name: string;
  readonly points: readonly (readonly [second: number, value: number])[];
}

/** One chart of a report. */
export interface ReportChart {
  readonly title: string;
  readonly unit: string;
  /** Whether the series are stacked; otherwise they are drawn independently. */
  readonly isStacked: boolean;
  readonly series: readonly ChartSeries[];
}
