/** Converts a camel-case name to snake case. */
export function convertToSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
