import type { FastifyInstance, RouteHandlerMethod } from "fastify";

/** Registers the routes of plain services; request bodies are passed through as bytes. */
export function registerServiceRoutes(server: FastifyInstance, handler: RouteHandlerMethod): void {
  server.register((scope, _options, done) => {
    scope.removeAllContentTypeParsers();
    scope.addContentTypeParser("*", { parseAs: "buffer" }, (_request, body, parsed) => {
      parsed(null, body);
    });
    scope.all("/v1/services/:service/*", handler);
    done();
  });
}
