import type { AdmissionOutcome } from "../admission/mod.ts";

/** One generation that this daemon relays, or holds for a caller that has gone. */
export interface Run {
  readonly generation: string;
  readonly team: string;
  readonly upstream: string;
  readonly url: string;
  /** Tokens delivered, counted from the generation's first. */
  tokens: number;
  /** Another stream has taken the run over: this one ends without cancelling anything. */
  isSuperseded: boolean;
  /** Interrupts whatever the relay waits for. */
  interrupt: () => void;
  /** Ends the accounting of the generation; later calls do nothing. */
  readonly release: (outcome: AdmissionOutcome, tokens: number) => void;
}
