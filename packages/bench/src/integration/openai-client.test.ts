import { expect } from 'chai';
import OpenAI from 'openai';
import { EndpointKind } from '@poplarpick/decisions';
import { expectedAnswer, planSite, renderConfiguration } from '@poplarpick/stand-ins';
import type { SitePlan } from '@poplarpick/stand-ins';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';

const MESSAGES = [{ role: 'user' as const, content: 'Which runs are due today?' }];

function planSingleEngineSite(): SitePlan {
  const plan = planSite({ workspaces: 3, queueLimit: 1 });
  return {
    ...plan,
    endpoints: plan.endpoints.filter(({ kind }) => kind === EndpointKind.Model).slice(0, 1),
  };
}

describe('an OpenAI client library', () => {
  let fleet: ProcessFleet;
  let model: string;

  before(async () => {
    fleet = await ProcessFleet.start({ plan: planSingleEngineSite(), routers: 1 });
    model = fleet.site.plan.model;
    const unserved = '\n[[models]]\nname = "unserved"\n';
    fleet.site.configuration.publish(
      2,
      renderConfiguration(fleet.site.plan, { revision: 2 }) + unserved,
    );
    await fleet.routers[0]?.process.waitForEvent(
      (event) => event['revision'] === '2',
      'revision 2',
    );
  });

  after(async () => {
    await fleet.stop();
  });

  function createClient(apiKey = fleet.site.plan.workspaces[0]?.key ?? ''): OpenAI {
    return new OpenAI({ apiKey, baseURL: `${fleet.routerUrls[0] ?? ''}/v1`, maxRetries: 0 });
  }

  async function catchApiError(
    call: Promise<unknown>,
  ): Promise<InstanceType<typeof OpenAI.APIError>> {
    try {
      await call;
    } catch (error) {
      if (error instanceof OpenAI.APIError) return error;
      throw error;
    }
    throw new Error('the call did not fail');
  }

  it('gets a complete answer with usage and finish reason', async () => {
    const answer = await createClient().chat.completions.create({
      model,
      messages: MESSAGES,
      max_tokens: 5,
    });
    const expected = expectedAnswer({ model, messages: MESSAGES, max_tokens: 5 });
    expect(answer.choices[0]?.message.content).to.equal(expected);
    expect(answer.choices[0]?.finish_reason).to.equal('length');
    expect(answer.usage?.completion_tokens).to.equal(5);
  });

  it('finishes with reason stop without a token limit', async () => {
    const answer = await createClient().chat.completions.create({ model, messages: MESSAGES });
    expect(answer.choices[0]?.finish_reason).to.equal('stop');
  });

  it('gets a stream with usage at its end', async () => {
    const options = { stream: true as const, stream_options: { include_usage: true } };
    const stream = await createClient().chat.completions.create({
      model,
      messages: MESSAGES,
      ...options,
    });
    let text = '';
    let completionTokens = 0;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
      completionTokens = chunk.usage?.completion_tokens ?? completionTokens;
    }
    expect(text).to.equal(expectedAnswer({ model, messages: MESSAGES }));
    expect(completionTokens).to.equal(text.split(' ').length);
  });

  it('lists the models', async () => {
    const names: string[] = [];
    for await (const entry of createClient().models.list()) names.push(entry.id);
    expect(names).to.deep.equal([model, 'unserved']);
  });

  it('raises its own error classes', async () => {
    const { completions } = createClient().chat;
    const wrongKey = await catchApiError(createClient('wrong').models.list());
    expect(wrongKey).to.be.instanceOf(OpenAI.AuthenticationError);
    const bad = await catchApiError(completions.create({ model, messages: [] }));
    expect(bad).to.be.instanceOf(OpenAI.BadRequestError);
    const unknown = await catchApiError(
      completions.create({ model: 'nobody', messages: MESSAGES }),
    );
    expect(unknown).to.be.instanceOf(OpenAI.NotFoundError);
    const unserved = await catchApiError(
      completions.create({ model: 'unserved', messages: MESSAGES }),
    );
    expect(unserved).to.be.instanceOf(OpenAI.InternalServerError);
    expect(unserved.status).to.equal(503);
    expect(unserved.headers?.get('retry-after')).to.match(/^\d+$/);
  });

  it('raises its rate limit error when the queue is full', async () => {
    const metadata = { output_tokens: '400' };
    const calls = Array.from({ length: 12 }, () =>
      createClient()
        .chat.completions.create({ model, messages: MESSAGES, metadata })
        .then(
          () => undefined,
          (error: unknown) => error,
        ),
    );
    const failures = (await Promise.all(calls)).filter((error) => error !== undefined);
    expect(failures).to.not.be.empty;
    for (const failure of failures) expect(failure).to.be.instanceOf(OpenAI.RateLimitError);
  });
});
