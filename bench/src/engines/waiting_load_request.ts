import type { InFlightRequest } from "@crocussail/daemon/balancing";

/** A request of a simulated burst. Times are in simulated milliseconds. */
export interface WaitingLoadRequest {
  readonly id: string;
  readonly host: number;
  readonly dataCentre: number;
  readonly account: string;
  readonly isLong: boolean;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Size as its host estimates it when it arrives. */
  readonly size: Pick<
    InFlightRequest,
    "promptTokens" | "expectedTokens" | "maxOutputTokens" | "producedTokens"
  >;
  readonly arrivedMs: number;
  readonly targetMs: number;
  firstMs: number | undefined;
  refusedMs: number | undefined;
}
