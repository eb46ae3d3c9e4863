/** Figures of a running process, as Linux gives them. */
import * as fs from 'node:fs/promises';

export type ProcessFigures = {
  /** The most that the process has had in memory since its start. */
  peakResidentBytes: number;
  openDescriptors: number;
};

/** Fails if the process has ended. */
export async function read(pid: number): Promise<ProcessFigures> {
  const status = await fs.readFile(`/proc/${pid}/status`, 'utf8');
  const peakKb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]);
  return {
    peakResidentBytes: peakKb * 1_024,
    openDescriptors: (await fs.readdir(`/proc/${pid}/fd`)).length,
  };
}
