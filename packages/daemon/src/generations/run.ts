import type { AdmissionOutcome } from "../admission/mod.ts";

/** One generation that this daemon relays, or holds for a resume after its caller disconnected. */
export interface Run {
  readonly generation: string;
  readonly team: string;
  readonly upstream: string;
  readonly url: string;
  /** Number of tokens delivered, counted from the first token of the generation. */
  tokens: number;
  /** Whether another stream has taken over the run; this one then ends without a cancellation. */
  isSuperseded: boolean;
  /** Interrupts the current wait of the relay. */
  interrupt: () => void;
  /** Ends the admission accounting of the generation; later calls have no effect. */
  readonly release: (outcome: AdmissionOutcome, tokens: number) => void;
}
