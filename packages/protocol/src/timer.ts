/** Handle of a timer started by a {@link Clock}. */
export interface Timer {
  /** Stops the timer; does nothing once it has fired. */
  cancel(): void;
}
