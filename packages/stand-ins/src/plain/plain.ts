/**
 * A stand-in for a plain service: accepts bookings and charges, which must run at most once, and reads.
 * It counts the runs per reference.
 */
import * as serve from '../http/serve.js';

/** The point at which requests with an effect fail. */
export type Fault = 'none' | 'cut-before-run' | 'cut-after-run' | 'silent-after-run' | 'refuse';

export type Options = { workMs: number };
export const DEFAULTS: Options = { workMs: 5 };

type LogEntry = { reference: string; kind: string };
export type Stats = { runs: Readonly<Record<string, number>>; reads: number };
export type Service = serve.Server & { stats(): Stats };

export async function start(given: Partial<Options> = {}, port = 0): Promise<Service> {
  const options = { ...DEFAULTS, ...given };
  const log: LogEntry[] = [];
  const runs = new Map<string, number>();
  const state = { fault: 'none' as Fault, reads: 0 };

  async function takeEffect(kind: string, body: Buffer): Promise<serve.Reply> {
    const { fault } = state;
    if (fault === 'cut-before-run') return { kind: 'cut' };
    if (fault === 'refuse') return serve.json(503, { error: 'not run' });
    const { reference } = JSON.parse(body.toString('utf8')) as { reference: string };
    await serve.sleep(options.workMs);
    runs.set(reference, (runs.get(reference) ?? 0) + 1);
    log.push({ reference, kind });
    if (fault === 'cut-after-run') return { kind: 'cut' };
    if (fault === 'silent-after-run') return { kind: 'silent' };
    return serve.json(201, { reference, kind, number: log.length });
  }

  function stats(): Stats {
    return { runs: Object.fromEntries(runs), reads: state.reads };
  }

  function control(request: serve.Request): serve.Reply {
    if (request.path[1] === 'stats') return serve.json(200, stats());
    const controls = JSON.parse(request.body.toString('utf8')) as { fault?: Fault };
    if (controls.fault) state.fault = controls.fault;
    return serve.json(200, {});
  }

  function handle(request: serve.Request): Promise<serve.Reply> | serve.Reply {
    const { method, path, body } = request;
    switch (`${method} ${path[0]}`) {
      case 'POST bookings':
        return takeEffect('booking', body);
      case 'POST charges':
        return takeEffect('charge', body);
      case 'GET log':
        state.reads += 1;
        return serve.json(200, { log });
      case 'GET control':
      case 'POST control':
        return control(request);
      default:
        return serve.json(404, { error: 'no such path' });
    }
  }

  const server = await serve.listen(handle, port);
  return { ...server, stats };
}
