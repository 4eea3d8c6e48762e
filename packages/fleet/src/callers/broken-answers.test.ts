// Callers must see that an answer is incomplete, and nothing of it in an error that replaces it.
import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { AnswerSink } from '../router/answer-sink.ts';
import { ApplicationSink } from './application-call.ts';
import { ChatAggregatingSink, ChatStreamSink } from './chat-completions.ts';

const FAILURE = new RequestError('the answer is incomplete', {
  code: ErrorCode.IncompleteAnswer,
  verdict: Verdict.Ran,
});

const CHUNK = Buffer.from('{"choices":[{"index":0,"delta":{"content":"one"}}]}');

const HEAD = Buffer.from(
  JSON.stringify({ status: 200, headers: [{ name: 'content-type', value: 'text/plain' }] }),
);

enum Break {
  None = 'none',
  Visible = 'visible',
}

/** What a caller saw. */
interface Exchange {
  text: string;
  /** Whether the transport shows that the response is incomplete. */
  transport: Break;
}

/** Sends a request as HTTP/1.0 or 1.1 to a handler, and returns what the caller sees. */
async function exchange(
  version: string,
  createSink: (response: ConstructorParameters<typeof ApplicationSink>[0]) => AnswerSink,
  act: (sink: AnswerSink) => void,
): Promise<Exchange> {
  const server = createServer((_request, response) => {
    const sink = createSink(response);
    act(sink);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.write(`GET / HTTP/${version}\r\nHost: x\r\nConnection: close\r\n\r\n`);
  let text = '';
  let wasReset = false;
  socket.on('data', (bytes) => (text += bytes.toString('latin1')));
  socket.on('error', () => (wasReset = true));
  await new Promise((resolve) => socket.on('close', resolve));
  server.close();
  const isChunked = /transfer-encoding: chunked/i.test(text);
  const isCut = isChunked && !text.endsWith('0\r\n\r\n');
  return { text, transport: wasReset || isCut ? Break.Visible : Break.None };
}

/** Lets the head and the bytes so far leave, then fails the answer. */
function failAfter(frames: Buffer[]): (sink: AnswerSink) => void {
  return (sink) => {
    for (const frame of frames) sink.deliver(frame);
    setTimeout(() => sink.fail(FAILURE), 20);
  };
}

describe('an answer that fails after it has begun', () => {
  for (const version of ['1.0', '1.1']) {
    it(`is broken off visibly for a caller of an application, over HTTP/${version}`, async () => {
      const { transport } = await exchange(
        version,
        (response) => new ApplicationSink(response, 'id'),
        failAfter([HEAD, Buffer.from('part')]),
      );
      expect(transport).to.equal(Break.Visible);
    });

    it(`ends a stream with the error and without the end mark, over HTTP/${version}`, async () => {
      const { text } = await exchange(
        version,
        (response) => new ChatStreamSink(response, 'id', false),
        failAfter([CHUNK]),
      );
      expect(text).to.include('event: error').and.not.include('[DONE]');
    });

    it(`is only the error for a caller that doesn't stream, over HTTP/${version}`, async () => {
      const { text } = await exchange(
        version,
        (response) => new ChatAggregatingSink(response, 'id'),
        failAfter([CHUNK]),
      );
      expect(text)
        .to.match(/^HTTP\/1\.1 502 /)
        .and.not.include('one');
    });
  }

  it('leaves no header of the answer in the error that replaces it', async () => {
    const headers = [
      { name: 'content-encoding', value: 'gzip' },
      { name: 'set-cookie', value: 'session=1' },
      { name: 'x-odd', value: 'line\nbreak' },
    ];
    const { text } = await exchange(
      '1.1',
      (response) => new ApplicationSink(response, 'id'),
      (sink) => {
        const head = Buffer.from(JSON.stringify({ status: 200, headers }));
        expect(() => sink.deliver(head)).to.throw();
        sink.fail(FAILURE);
      },
    );
    expect(text).to.match(/^HTTP\/1\.1 502 /);
    expect(text).to.not.match(/content-encoding|set-cookie/i);
  });

  // Guards against bytes that are no answer and get to the caller as one.
  for (const status of [0, 99, 199, 600, 999]) {
    it(`is never begun with status ${status}, which no answer has`, async () => {
      const { text } = await exchange(
        '1.1',
        (response) => new ApplicationSink(response, 'id'),
        (sink) => {
          const head = Buffer.from(JSON.stringify({ status, headers: [] }));
          expect(() => sink.deliver(head)).to.throw();
          sink.fail(FAILURE);
        },
      );
      expect(text).to.match(/^HTTP\/1\.1 502 /);
    });
  }
});
