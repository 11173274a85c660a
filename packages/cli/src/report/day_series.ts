/** One line of a chart: values by second from the first log line. */
export interface DaySeries {
  readonly name: string;
  readonly points: readonly (readonly [second: number, value: number])[];
}

/** One chart of a report. */
export interface DayChart {
  readonly title: string;
  readonly unit: string;
  /** Series add up; otherwise each stands for itself. */
  readonly isStacked: boolean;
  readonly series: readonly DaySeries[];
}
