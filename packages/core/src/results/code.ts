/** What a code means to callers and operators. */
export type Code = {
  number: number;
  /** HTTP status where the code reaches a caller. */
  status: number;
  title: string;
  hint: string;
};
