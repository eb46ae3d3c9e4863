/** A proxy between callers and one instance, which takes the place of the way between them. */
import * as net from 'node:net';

/** The way of one connection. */
export type Way = {
  /** In each direction. */
  delayMs: number;
  /** The first bytes to the instance are cut here; the rest comes after the pause. */
  splitAtBytes: number;
  splitPauseMs: number;
};

export type Proxy = {
  address: string;
  /** Opens a connection to the instance over this way. */
  connect(way: Way): net.Socket;
  close(): void;
};

/** Connections take the ways in the order in which they were opened. */
export async function start(instance: string): Promise<Proxy> {
  const [host = '', port] = instance.split(':');
  const ways: Way[] = [];
  const sockets = new Set<net.Socket>();
  const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (caller) => {
    const way = ways.shift() ?? { delayMs: 0, splitAtBytes: 0, splitPauseMs: 0 };
    const upstream = net.connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
    [caller, upstream].forEach((socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    });
    carry(caller, upstream, way);
    carry(upstream, caller, { ...way, splitAtBytes: 0 });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port: own } = server.address() as net.AddressInfo;
  return {
    address: `127.0.0.1:${own}`,
    connect(way) {
      ways.push(way);
      return net.connect({ host: '127.0.0.1', port: own, noDelay: true });
    },
    close() {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/** Passes on bytes, the end and a reset, each after the delay. */
function carry(
  from: net.Socket,
  to: net.Socket,
  { delayMs, splitAtBytes, splitPauseMs }: Way,
): void {
  const state = { passed: 0, extraMs: 0 };
  const later = (action: () => void) => setTimeout(action, delayMs + state.extraMs);
  const write = (bytes: Buffer) =>
    later(() => {
      if (!to.destroyed && to.writable) to.write(bytes);
    });
  from.on('data', (bytes: Buffer) => {
    const untilSplit = splitAtBytes - state.passed;
    state.passed += bytes.length;
    if (untilSplit <= 0 || untilSplit >= bytes.length) {
      write(bytes);
      return;
    }
    write(bytes.subarray(0, untilSplit));
    state.extraMs = splitPauseMs;
    write(bytes.subarray(untilSplit));
  });
  from.on('end', () => later(() => to.end()));
  // Only a reset is an error on a connection that was made; one that was refused ends like a reset, too.
  from.on('error', () => later(() => reset(to)));
}

/** While the end of a connection is on its way, a reset of it fails, and it would never close. */
export function reset(socket: net.Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
