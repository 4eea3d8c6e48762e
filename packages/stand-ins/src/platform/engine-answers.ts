/** Writes the answers of the stand-in for a platform engine, sound and faulty ones. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { EngineBehaviour } from './engine-behaviour.ts';

/** Delay before a reset, so that the bytes already written are sent. */
const RESET_DELAY_MS = 30;

/** Time for which an unframed refusal leaves its connection open, in milliseconds. */
const REFUSAL_END_DELAY_MS = 150;

/** What an answer tells, and what the engine does when its process ends within one. */
export interface EngineAnswer {
  requestId: string;
  engineId: string;
  /** Body of a sound answer. */
  answer: string;
  /** Called when the engine's process ends within the answer. */
  onEnd: () => void;
}

/** Answers a request that the engine has run, or fails to. */
export function sendAnswer(
  behaviour: EngineBehaviour,
  response: ServerResponse,
  { requestId, engineId, answer, onEnd }: EngineAnswer,
): void {
  const socket = response.socket as Socket;
  const buildHead = (extra: string): string =>
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${requestId}\r\nResponse-Seal: ${engineId}\r\n${extra}\r\n`;
  const buildCompleteAnswer = (id: string): string =>
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: ${engineId}\r\nContent-Length: 4\r\n\r\nbody`;
  switch (behaviour) {
    case EngineBehaviour.ResetBeforeAnswer:
      socket.resetAndDestroy();
      return;
    case EngineBehaviour.ResetWithinAnswer:
      socket.write(`${buildHead('Content-Length: 100\r\n')}some`, () => resetAfterDelay(socket));
      return;
    case EngineBehaviour.UnframedReset:
      socket.write(`${buildHead('Connection: close\r\n')}some`, () => resetAfterDelay(socket));
      return;
    case EngineBehaviour.Unframed:
      socket.end(`${buildHead('Connection: close\r\n')}body`);
      return;
    case EngineBehaviour.UnframedEnd:
      socket.write(`${buildHead('Connection: close\r\n')}some`);
      setTimeout(() => onEnd(), RESET_DELAY_MS);
      return;
    case EngineBehaviour.Error:
      response.writeHead(500, { 'Attempt-Id': requestId, 'Response-Seal': engineId });
      response.end('failed');
      return;
    case EngineBehaviour.WrongAttemptId:
      socket.write(buildCompleteAnswer('another'));
      return;
    case EngineBehaviour.Garbage:
      socket.write('this is no answer\r\n\r\n');
      return;
    case EngineBehaviour.ExtraAnswer:
      socket.write(buildCompleteAnswer(requestId) + buildCompleteAnswer('late'));
      return;
    case EngineBehaviour.NoAnswer:
      return;
    case EngineBehaviour.CompleteAnswer:
    case EngineBehaviour.UnframedStream:
    case EngineBehaviour.Refuse:
    case EngineBehaviour.RefuseWithOtherId:
    case EngineBehaviour.RefuseWithoutId:
    case EngineBehaviour.RepeatedRefusal:
    case EngineBehaviour.UnframedRefusal:
    case EngineBehaviour.UnframedRefusalReset:
      response.writeHead(200, { 'Attempt-Id': requestId, 'Response-Seal': engineId });
      response.end(answer);
  }
}

/** Refuses a request with an answer that ends with its connection. */
export function sendUnframedRefusal(
  socket: Socket,
  requestId: string,
  behaviour: EngineBehaviour,
): void {
  socket.write(
    `HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: ${requestId}\r\nNot-Executed: 1\r\n\r\nfull`,
  );
  setTimeout(() => {
    if (behaviour === EngineBehaviour.UnframedRefusal) socket.end();
    else socket.resetAndDestroy();
  }, REFUSAL_END_DELAY_MS);
}

function resetAfterDelay(socket: Socket): void {
  setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
}
