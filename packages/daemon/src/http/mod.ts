/** HTTP server for callers and its helpers. @module */
export { authenticateTeam } from "./authenticate_team.ts";
export { createCallerServer } from "./create_caller_server.ts";
export type { CallerServerOptions } from "./create_caller_server.ts";
export { sendProblem } from "./send_problem.ts";
export type { TlsMaterial } from "./tls_material.ts";
