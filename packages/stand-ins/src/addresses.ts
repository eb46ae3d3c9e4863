/** Addresses for servers and processes that tests start. */
import * as net from 'node:net';

const HOST = '127.0.0.1';
/** Below the ports that Linux gives to sockets which ask for any. */
const FIRST_PORT = 10_000;
const BLOCKS = 200;
const PORTS_PER_BLOCK = 100;

/** A block of ports that this process holds, by a listener on the first of them. */
type Block = { number: number; used: number };

function firstPort(number: number): number {
  return FIRST_PORT + (number % BLOCKS) * PORTS_PER_BLOCK;
}

function tryToListen(port: number): Promise<net.Server | undefined> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.on('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}

async function holdBlock(number: number): Promise<Block> {
  const holder = await tryToListen(firstPort(number));
  if (!holder) return holdBlock(number + 1);
  holder.unref();
  return { number, used: 0 };
}

function allocator(): () => Promise<number> {
  const state = { block: undefined as Promise<Block> | undefined };
  return async function next(): Promise<number> {
    state.block ??= holdBlock(process.pid);
    const held = await state.block;
    held.used += 1;
    if (held.used >= PORTS_PER_BLOCK) {
      // Others may wait for the same block.
      if (held.used === PORTS_PER_BLOCK) state.block = holdBlock(held.number + 1);
      return next();
    }
    const port = firstPort(held.number) + held.used;
    const server = await tryToListen(port);
    if (!server) return next();
    await new Promise((resolve) => {
      server.close(resolve);
    });
    return port;
  };
}

const nextPort = allocator();

/**
 * Returns a `HOST:PORT` that no process listens on, and that no other process of the tests is given: one
 * that is told to listen there may do so later, and again after its end.
 */
export async function aFreeAddress(): Promise<string> {
  return `${HOST}:${await nextPort()}`;
}

/** Listens on a free address, which stays the server's while it is closed. */
export async function listen(server: net.Server): Promise<string> {
  const port = await nextPort();
  await new Promise<void>((resolve) => {
    server.listen(port, HOST, resolve);
  });
  return `${HOST}:${port}`;
}
