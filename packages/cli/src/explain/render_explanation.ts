import type { Explanation } from "@crocussail/protocol";

/** Renders the decisions about one request, one line each. */
export function renderExplanation(explanation: Explanation): string {
  const lines = explanation.entries.map((entry) => {
    const fields = Object.entries(entry.fields)
      .map(([name, value]) => `${name}=${formatField(value)}`)
      .join(" ");
    return `  ${entry.time} revision ${entry.revision} ${entry.slice}: ${entry.decision} ${fields}`
      .trimEnd();
  });
  return [`request ${explanation.request} on ${explanation.host}`, ...lines].join("\n");
}

function formatField(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}
