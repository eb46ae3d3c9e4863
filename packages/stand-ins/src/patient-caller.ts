/** A caller that never closes its side of the connection, as one far away has not yet. */
import * as net from 'node:net';

export type PatientCaller = {
  socket: net.Socket;
  received(): string;
  /** How the other side has ended the connection. */
  end(): 'open' | 'end' | 'reset';
};

/** Connects to a server at `HOST:PORT`. */
export async function connect(address: string): Promise<PatientCaller> {
  const { hostname: host, port } = new URL(`http://${address}`);
  const socket = net.connect({ host, port: Number(port), allowHalfOpen: true });
  const seen = { text: '', end: 'open' as ReturnType<PatientCaller['end']> };
  socket.on('data', (chunk) => {
    seen.text += chunk.toString('latin1');
  });
  socket.on('end', () => {
    seen.end = 'end';
  });
  socket.on('error', () => {
    seen.end = 'reset';
  });
  await new Promise((resolve) => {
    socket.on('connect', resolve);
  });
  return { socket, received: () => seen.text, end: () => seen.end };
}
