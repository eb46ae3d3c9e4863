/** The benchmarks: importing one registers it. */
export {};
