import type { ServerResponse } from "node:http";
import type { TextMetrics } from "../adapters/create_text_metrics.ts";
import type { DeploymentDirectory } from "../adapters/deployment_directory.ts";
import { GATEWAY_LIMITS } from "./constants.ts";

/** Options of {@link createGatewayAnswers}. */
export interface GatewayAnswersOptions {
  readonly directory: DeploymentDirectory;
  readonly metrics: Pick<TextMetrics, "render">;
  readonly isReady: () => boolean;
  /** Chooses the addresses that callers may connect to, `ip:port`. */
  readonly chooseAddresses: () => readonly string[];
  /** Longest time for which callers may cache a directory response, in milliseconds. */
  readonly maxTtlMs: number;
}

/** Answers to requests that are not forwarded. */
export interface GatewayAnswers {
  answerDirectory(target: string, response: ServerResponse): void;
  answerReadiness(target: string, response: ServerResponse): void;
  answerMetrics(response: ServerResponse): Promise<void>;
}

/** Creates the answers of the directory, the readiness check and the metrics address. */
export function createGatewayAnswers(options: GatewayAnswersOptions): GatewayAnswers {
  const { directory, metrics } = options;
  return {
    answerDirectory: (target, response) => {
      if (getPath(target) !== directory.directoryPath) {
        response.writeHead(404).end();
        return;
      }
      const addresses = options.chooseAddresses();
      if (addresses.length === 0) {
        response.writeHead(503).end();
        return;
      }
      const ttlMs = Math.min(GATEWAY_LIMITS.directoryTtlMs, options.maxTtlMs);
      const body = directory.encodeAddresses(addresses, ttlMs);
      response.writeHead(200, { "Content-Type": "application/json" }).end(body);
    },
    answerReadiness: (target, response) => {
      const isReadinessPath = getPath(target) === directory.readinessPath;
      response.writeHead(isReadinessPath ? (options.isReady() ? 200 : 503) : 404).end();
    },
    answerMetrics: async (response) => {
      response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" });
      response.end(await metrics.render());
    },
  };
}

/** Returns the path of a request target of any form; it need not be part of a valid URL. */
function getPath(target: string): string {
  return target.replace(/^https?:\/\/[^/?]*/i, "").split("?")[0] ?? "";
}
