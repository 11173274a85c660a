import { z } from "zod";

/** INI flag: `true` or `false`. */
export const flagSchema = z
  .union([z.boolean(), z.enum(["true", "false"])])
  .transform((value) => value === true || value === "true");
