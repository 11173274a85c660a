import { z } from "zod";

/** Comma-separated list in one INI value; an empty value is an empty list. */
export const commaListSchema = z
  .string()
  .transform((text) => text.split(",").map((item) => item.trim()).filter((item) => item !== ""));
