// Jobs that are pushed late in a planned restart. See claim.txt.
#include <signal.h>

#include <array>
#include <thread>
#include <vector>

#include "harness.h"

namespace {

using aldersill::tools::FaktorySession;
using review::SecondsSinceStart;
using review::SleepUntil;
using review::Verdict;

constexpr int kJobMs = 5'000;  // a cobro runs for 3.5 to 6.8 s on average
// Seconds after SIGTERM.
constexpr double kConnectAt = 0.36;  // new connections keep coming for 0.2 to 0.4 s
constexpr double kLastConnectAt = 0.4;
constexpr double kTakenAfter = 0.7 + 0.05;   // each time limit is 0.05 s longer on sockets
constexpr double kFirstPushAt = 0.80;        // later than 0.7 s and the 0.05 s of the sockets
constexpr double kKillAt = 3.0 + 0.7 + 0.1;  // the deadline counts as 3 s, and 0.7 s more; 0.1 s to spare
constexpr int kProducers = 3;

struct Producer {
  std::string jid;
  std::optional<std::string> reply;
  double connected_at = 0.0;
  double pushed_at = 0.0;
  double replied_at = 0.0;
};

Verdict Run(review::Record* record, bool trouble) {
  static review::Runs runs(record);
  // These live until the process ends.
  static review::HttpWorker workers[] = {
      {"worker-1", kJobMs, &runs}, {"worker-2", kJobMs, &runs}, {"worker-3", kJobMs, &runs}};
  static review::Discovery discovery("[" + workers[0].Entry() + "," + workers[1].Entry() + "," +
                                     workers[2].Entry() + "]");
  review::Dispatcher dispatcher("dispatcher", "faktory: {enabled: true, listen: \"127.0.0.1:0\"}\n",
                                {{"GW_DISCOVERY", discovery.address()}});
  const std::uint16_t faktory = dispatcher.PortOf("faktory");
  dispatcher.AwaitReady(dispatcher.PortOf("http"));
  SleepUntil(SecondsSinceStart() + 1.0);

  const double terminated_at = SecondsSinceStart();
  if (trouble) {
    dispatcher.Signal(SIGTERM);
    record->Write("signal SIGTERM to the dispatcher");
  }
  std::array<Producer, kProducers> producers;
  std::vector<std::thread> threads;
  for (int i = 0; i < kProducers; ++i) {
    Producer& producer = producers[static_cast<std::size_t>(i)];
    producer.jid = "job-" + std::to_string(i + 1);
    threads.emplace_back([&producer, record, faktory, terminated_at, i] {
      try {
        SleepUntil(terminated_at + kConnectAt + 0.01 * i);
        FaktorySession session(faktory);
        producer.connected_at = SecondsSinceStart();
        record->Write("open  a producer's session for " + producer.jid);
        SleepUntil(terminated_at + kFirstPushAt + 0.02 * i);
        record->Write("sent  PUSH cobro " + producer.jid);
        producer.pushed_at = SecondsSinceStart();
        producer.reply = review::Push(&session, review::PushCommand("cobro", producer.jid, producer.jid));
      } catch (const std::exception&) {  // the session was refused or closed
      }
      producer.replied_at = SecondsSinceStart();
      record->Write("reply " + producer.jid + ": " +
                    producer.reply.value_or("none, the connection has ended"));
    });
  }
  if (trouble) {
    SleepUntil(terminated_at + kKillAt);
    if (dispatcher.Running()) {
      record->Write("signal SIGKILL to the dispatcher");
      dispatcher.Signal(SIGKILL);
    } else {
      record->Write("ended the dispatcher has ended by itself");
    }
  }
  for (std::thread& thread : threads)
    thread.join();

  // Only a job that the dispatcher has taken for certain counts: one that it has sent to a worker. A producer
  // that this machine made late for its connection, or early for its push, does not count.
  bool broken = false;
  bool all_done = true;
  for (const Producer& producer : producers) {
    all_done = all_done && producer.reply == "+OK";
    if (producer.connected_at - terminated_at > kLastConnectAt ||
        producer.pushed_at - terminated_at <= kTakenAfter)
      continue;
    for (const review::Run& run : runs.All()) {
      if (run.id != producer.jid || producer.reply)
        continue;
      record->Write("BROKEN " + producer.jid + " was taken " +
                    std::to_string(producer.pushed_at - terminated_at) + " s after SIGTERM, was sent to " +
                    run.worker + " and got no answer");
      broken = true;
    }
  }
  if (broken)
    return Verdict::kBroken;
  return !trouble && !all_done ? Verdict::kCannotRun : Verdict::kHeld;
}

}  // namespace

int main() { return review::RunCase(Run); }
