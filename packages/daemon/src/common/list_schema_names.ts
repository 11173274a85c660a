import { z } from "zod";

/** Returns the keys of the object schema at `path`, in camel case; empty for any other schema. */
export function listSchemaNames(schema: z.ZodType, path: readonly PropertyKey[]): string[] {
  const schemaAtPath = path.reduce<unknown>(stepInto, unwrapSchema(schema));
  return schemaAtPath instanceof z.ZodObject ? Object.keys(schemaAtPath.shape) : [];
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
