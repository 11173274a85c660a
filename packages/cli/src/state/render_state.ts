import type { StateDump } from "@crocussail/protocol";

/** Renders a state dump as indented text. */
export function renderState(state: StateDump): string {
  const head = `${state.host} (${state.dataCentre}) ${state.ready ? "ready" : "not ready"} ` +
    `incarnation ${state.incarnation}`;
  const slices = Object.entries(state.slices).flatMap(([name, slice]) => [
    `  ${name}`,
    ...renderValue(slice, "    "),
  ]);
  return [head, ...slices].join("\n");
}

function renderValue(value: unknown, indent: string): string[] {
  if (typeof value !== "object" || value === null) {
    return [`${indent}${value}`];
  }
  return Object.entries(value).flatMap(([name, item]) => {
    if (typeof item !== "object" || item === null) {
      return item === undefined ? [] : [`${indent}${name} = ${item}`];
    }
    return [`${indent}${name}`, ...renderValue(item, `${indent}  `)];
  });
}
