import { createEtcdSettingsSource } from "@crocussail/daemon";
import type { PublishedBatch, SettingsSource } from "@crocussail/daemon";
import type { ResultError } from "@crocussail/protocol";
import { createSettingsService } from "@crocussail/stand_ins";
import type { SettingsService } from "@crocussail/stand_ins";
import { expect } from "chai";

/** Implementations of a settings source; each is tested against its stand-in. */
const IMPLEMENTATIONS: readonly {
  name: string;
  createSource(urls: readonly string[]): SettingsSource;
}[] = [
  { name: "etcd v3 JSON gateway", createSource: (urls) => createEtcdSettingsSource({ urls }) },
];

const MAX_VALUE_BYTES = 1_048_576;

/** Opens a watch and collects its batches; the result can wait for values or the watch's end. */
const makeWatch = (source: SettingsSource, after: number) => {
  const batches: PublishedBatch[] = [];
  const waiters = new Set<() => void>();
  let end: ResultError | undefined;
  const wake = () => waiters.forEach((waiter) => waiter());
  const close = source.watchAfter(after, {
    handleBatch: (batch) => {
      batches.push(batch);
      wake();
    },
    handleEnd: (error) => {
      end = error;
      wake();
    },
  });
  const listValues = () => batches.flatMap((batch) => batch.values);
  const waitUntil = (isDone: () => boolean) =>
    new Promise<void>((resolve) => {
      const waiter = () => {
        if (isDone()) {
          waiters.delete(waiter);
          resolve();
        }
      };
      waiters.add(waiter);
      waiter();
    });
  return {
    close,
    listValues,
    waitForValues: (count: number) => waitUntil(() => listValues().length >= count),
    waitForEnd: async () => {
      await waitUntil(() => end !== undefined);
      return end;
    },
    waitForOpen: () => waitUntil(() => batches.length > 0),
  };
};

for (const { name, createSource } of IMPLEMENTATIONS) {
  describe(`settings source: ${name}`, () => {
    let service: SettingsService;
    let source: SettingsSource;

    beforeEach(async () => {
      service = await createSettingsService({ values: { "models/a": "version = 1\n" } });
      source = createSource([service.url]);
    });
    afterEach(() => service.close());

    it("reads every value with its revision, and the service's revision", async () => {
      service.putValue("models/b", "version = ü\n");
      service.deleteValue("models/a");
      const batch = (await source.readAll()).unsafeCoerce();
      expect(batch.revision).to.equal(3);
      expect(batch.values).to.deep.equal([{
        path: "models/b",
        revision: 2,
        text: "version = ü\n",
      }]);
      expect((await source.readRevision()).unsafeCoerce()).to.equal(3);
    });

    it("reads and watches a value of 1 MB", async () => {
      const text = "x".repeat(MAX_VALUE_BYTES);
      service.putValue("models/b", text);
      expect((await source.readAll()).unsafeCoerce().values.at(-1)?.text).to.equal(text);
      const watch = makeWatch(source, 1);
      await watch.waitForValues(1);
      watch.close();
      expect(watch.listValues()[0]?.text).to.equal(text);
    });

    it("watches changes made before and after it opened, in order, with deletions", async () => {
      service.putValue("models/b", "version = 2\n");
      const watch = makeWatch(source, 1);
      await watch.waitForValues(1);
      service.deleteValue("models/a");
      service.putValue("models/b", "version = 3\n");
      await watch.waitForValues(3);
      watch.close();
      expect(watch.listValues()).to.deep.equal([
        { path: "models/b", revision: 2, text: "version = 2\n" },
        { path: "models/a", revision: 3 },
        { path: "models/b", revision: 4, text: "version = 3\n" },
      ]);
    });

    it("ends a watch with an error when its start revision is compacted", async () => {
      service.putValue("models/b", "version = 2\n");
      service.compactChanges(2);
      const end = await makeWatch(source, 1).waitForEnd();
      expect(end?.code).to.equal("settingsRevisionCompacted");
    });

    for (
      const [title, text] of [
        ["is closed", ""],
        ["is closed in the middle of a line", '{"result":{"hea'],
        ["delivers a malformed line", "no json\n"],
        ["delivers a line of an unexpected shape", '{"error":{"code":14}}\n'],
      ] as const
    ) {
      it(`ends a watch when its connection ${title}`, async () => {
        const watch = makeWatch(source, 1);
        await watch.waitForOpen();
        service.cutWatches(text);
        expect((await watch.waitForEnd())?.code).to.equal("settingsServiceUnavailable");
        expect(watch.listValues()).to.deep.equal([]);
      });
    }

    it("fails while the service is down, and works again after", async () => {
      service.setDown(true);
      expect((await source.readAll()).isLeft()).to.equal(true);
      expect((await source.readRevision()).isLeft()).to.equal(true);
      expect((await makeWatch(source, 1).waitForEnd())?.code)
        .to.equal("settingsServiceUnavailable");
      service.setDown(false);
      expect((await source.readAll()).isRight()).to.equal(true);
    });

    it("uses the next URL after a failure and a response with an older revision", async () => {
      const other = await createSettingsService({ values: { "models/z": "version = 1\n" } });
      const both = createSource([service.url, other.url]);
      service.putValue("models/b", "version = 2\n");
      expect((await both.readRevision()).unsafeCoerce()).to.equal(2);
      service.setStale(1);
      expect((await both.readRevision()).unsafeCoerce()).to.equal(1);
      expect((await both.readAll()).unsafeCoerce().values[0]?.path).to.equal("models/z");
      service.setDown(true);
      expect((await both.readAll()).isLeft()).to.equal(true);
      expect((await both.readAll()).unsafeCoerce().values[0]?.path).to.equal("models/z");
      await other.close();
    });
  });
}
