/** A numbered result code, as callers and operators see it. */
export type Code = {
  number: number;
  /** HTTP status of the response, if the code reaches a caller. */
  status: number;
  title: string;
  hint: string;
};
