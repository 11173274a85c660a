import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import type { ServiceClient, ServiceResponse } from "../adapters/service_client.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { createOrderProblem } from "./create_order_problem.ts";
import { digestParts } from "./digest_parts.ts";
import type { KeyPrefix } from "./key_prefix_schema.ts";
import type { OrderAnswer } from "./order_answer.ts";
import type { OrderOutcome } from "./order_outcome_schema.ts";
import type { ReplicaClient } from "./replica_client.ts";
import { runClaimant } from "./run_claimant.ts";
import { runOrder } from "./run_order.ts";
import { waitFreshView } from "./wait_fresh_view.ts";
import type { ServiceCall } from "./service_call.ts";

/** Options of {@link createOrderRunner}. */
export interface OrderRunnerOptions {
  readonly context: Omit<DaemonContext, "peers">;
  readonly membership: Membership;
  readonly replicaClient: ReplicaClient;
  readonly service: ServiceClient;
}

/** Runs calls that must not be repeated. */
export interface OrderRunner {
  runCall(
    call: ServiceCall,
    key: string,
    prefix: KeyPrefix,
  ): Promise<Either<ResultError, ServiceResponse>>;
  /** Number of attempts that have not ended; records and releases may still be in flight. */
  countAttempts(): number;
}

/** Creates the claimant side of the orders slice. */
export function createOrderRunner(options: OrderRunnerOptions): OrderRunner {
  const { context, replicaClient, service } = options;
  const { clock, random, logger, journal, config, incarnation } = context;
  let attemptCount = 0;
  let nextClaim = 1;

  const dispatchCall = async (
    call: ServiceCall,
    upstream: number,
    onResponse: (response: ServiceResponse) => void,
  ): Promise<OrderOutcome | undefined> => {
    const url = call.urls[upstream] ?? call.urls[0] ?? "";
    const timeoutMs = Math.max(1, Math.ceil(call.deadlineMs - clock.readMonotonicMs()));
    logger.writeEvent("orderDispatched", { request: call.requestId, url });
    journal.recordDecision(call.requestId, "orders", "dispatched", { url });
    const result = await service.callService(url, { ...call.request, timeoutMs });
    return result.caseOf<OrderOutcome | undefined>({
      Right: (response) => {
        onResponse(response);
        return createCompletedOutcome(response);
      },
      Left: (error) => {
        if (error.ran === "no") {
          return undefined;
        }
        logger.writeEvent("orderOutcomeLost", { request: call.requestId, reason: error.detail });
        return { type: "unknown", detail: error.detail };
      },
    });
  };

  const runCall: OrderRunner["runCall"] = async (call, key, prefix) => {
    if (!await waitFreshView(options, call.deadlineMs)) {
      const detail = "this daemon started or resumed recently and has no fresh membership view yet";
      return Left(createOrderProblem({ type: "noMajority", detail }));
    }
    const { request, team } = call;
    const digest = digestParts([request.method, request.path], request.body);
    const recordKey = digestParts([team.name, key]);
    let response: ServiceResponse | undefined;
    const attemptOrder = () => {
      attemptCount++;
      return runClaimant({
        clock,
        replicaClient,
        prefix,
        key: recordKey,
        digest,
        claim: `${config.host.name}/${incarnation}/${nextClaim++}`,
        deadlineMs: call.deadlineMs,
        upstreams: call.urls.length,
        dispatch: (upstream) =>
          dispatchCall(call, upstream, (received) => {
            response = received;
          }),
        onEnd: () => {
          attemptCount--;
        },
      });
    };
    const { deadlineMs } = call;
    const answer = await runOrder({
      clock,
      random,
      replicaClient,
      prefix,
      deadlineMs,
      attemptOrder,
    });
    journal.recordDecision(call.requestId, "orders", "answered", {
      answer: describeAnswer(answer),
    });
    context.metrics.increment("orders.ended", 1, { answer: describeAnswer(answer) });
    logger.writeEvent("orderEnded", { request: call.requestId, answer: describeAnswer(answer) });
    return convertAnswer(answer, response);
  };

  return { runCall, countAttempts: () => attemptCount };
}

function createCompletedOutcome(response: ServiceResponse): OrderOutcome {
  const { status, headers, body } = response;
  const isBodyOmitted = body.byteLength > ORDER_LIMITS.maxRecordedBodyBytes;
  const recordedBody = isBodyOmitted ? new Uint8Array() : new Uint8Array(body);
  return { type: "completed", status, headers: { ...headers }, body: recordedBody, isBodyOmitted };
}

function describeAnswer(answer: OrderAnswer): string {
  return answer.type === "outcome" ? answer.outcome.type : answer.type;
}

/** The caller of the executed attempt gets the whole response; a repeat gets the recorded part. */
function convertAnswer(
  answer: OrderAnswer,
  response: ServiceResponse | undefined,
): Either<ResultError, ServiceResponse> {
  if (answer.type !== "outcome" || answer.outcome.type !== "completed") {
    return Left(createOrderProblem(answer));
  }
  if (!answer.isReplay && response !== undefined) {
    return Right(response);
  }
  return answer.outcome.isBodyOmitted ? Left(createOrderProblem(answer)) : Right(answer.outcome);
}
