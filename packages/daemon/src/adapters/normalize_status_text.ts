import { STATUS_CODES } from "node:http";

const SENDABLE_PATTERN = /^[\t\x20-\x7e]*$/;

/**
 * Returns the text of a status line if it can be sent on, otherwise the usual one of the status. Its
 * bytes have no defined encoding, and recipients ignore it.
 */
export function normalizeStatusText(status: number, statusText: string): string {
  return SENDABLE_PATTERN.test(statusText) ? statusText : STATUS_CODES[status] ?? "";
}
