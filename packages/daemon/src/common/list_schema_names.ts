import { z } from "zod";

/** Returns the names that the object schema at `path` knows, in camel case; empty when it is none. */
export function listSchemaNames(schema: z.ZodType, path: readonly PropertyKey[]): string[] {
  const found = path.reduce<unknown>(stepInto, unwrapSchema(schema));
  return found instanceof z.ZodObject ? Object.keys(found.shape) : [];
}

function stepInto(schema: unknown, name: PropertyKey): unknown {
  if (schema instanceof z.ZodObject) {
    return unwrapSchema(schema.shape[String(name)]);
  }
  return schema instanceof z.ZodRecord ? unwrapSchema(schema.valueType) : undefined;
}

function unwrapSchema(schema: unknown): unknown {
  const isWrapper = schema instanceof z.ZodOptional || schema instanceof z.ZodDefault;
  return isWrapper ? unwrapSchema(schema.unwrap()) : schema;
}
