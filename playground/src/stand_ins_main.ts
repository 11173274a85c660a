import { createEngine, createPlainService, createSettingsService } from "@crocussail/stand_ins";
import fastify from "fastify";
import process from "node:process";
import { createPlaygroundValues } from "./create_playground_values.ts";

/** Process that runs the stand-ins; prints their addresses as one JSON line. */
const ANSWER_TOKENS = 60;
const TOKEN_MS = 10;

const engines = await Promise.all(
  [1, 2, 3].map(() =>
    createEngine({ models: ["plan-70b"], tokenMs: TOKEN_MS, answerTokens: ANSWER_TOKENS })
  ),
);
const service = await createPlainService();
const settings = await createSettingsService({
  values: createPlaygroundValues({
    engineUrls: engines.map((engine) => engine.url),
    serviceUrl: service.url,
  }),
});

const control = fastify();
control.get("/runs", () => Object.fromEntries(service.getExecutionCounts()));
control.put<{ Querystring: { path: string } }>("/values", (request) => ({
  revision: settings.putValue(request.query.path, String(request.body)),
}));
const controlUrl = await control.listen({ host: "127.0.0.1", port: 0 });
process.stdout.write(`${JSON.stringify({ settingsUrl: settings.url, controlUrl })}\n`);
