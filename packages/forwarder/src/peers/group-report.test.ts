import { expect } from 'chai';
import { sumReports } from './group-report.ts';
import { makeReport } from './testing-reports.ts';

describe('the sums of a group report', () => {
  it('contain the need of all routers and the limit that was named last', () => {
    const { limits, needs } = sumReports(
      [
        makeReport({
          limits: [
            [1, 8_000, 300],
            [2, 5_000, 10],
          ],
          needs: [[1, 4_000, 1]],
        }),
        makeReport({
          limits: [[1, 6_000, 100]],
          needs: [
            [1, 1_500, 1],
            [2, 700, 1],
          ],
        }),
        makeReport({}),
      ],
      false,
    );
    expect(limits).to.deep.equal([
      [1, 6_000, 100],
      [2, 5_000, 10],
    ]);
    expect(needs).to.deep.equal([
      [1, 5_500, 2],
      [2, 700, 1],
    ]);
  });
});
