// Callers as PROTOCOL.md describes them; each request has a channel of its own.
import { request as openRequest } from "node:http";

let nextId = 1;

/** Creates an attempt id of 16 hexadecimal digits. */
export function createAttemptId() {
  return (0x9c41_0000 + nextId++).toString(16).padStart(16, "0");
}

/**
 * Sends a request to `address`; resolves to its status (0 without an answer), headers, body and
 * whether the body is complete. `handleData` receives the bytes as they arrive.
 */
export function sendRequest({ address, method, path, headers, body, handleData }) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const outgoing = openRequest(
      { host, port, method, path, headers, agent: false },
      (response) => {
        const chunks = [];
        const settle = () =>
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks).toString("utf8"),
            isComplete: response.complete,
          });
        response.on("data", (chunk) => {
          chunks.push(chunk);
          handleData?.(chunk);
        });
        response.once("end", settle);
        response.once("error", settle);
        response.once("close", settle);
      },
    );
    outgoing.once(
      "error",
      (error) => resolve({ status: 0, headers: {}, body: error.message, isComplete: false }),
    );
    outgoing.end(body);
  });
}
