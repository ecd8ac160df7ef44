// A Faktory worker gets slow, and its jobs run at another worker at the same time. See claim.txt.
#include <atomic>
#include <map>
#include <thread>

#include "harness.h"

namespace {

using aldersill::tools::FaktorySession;
using review::SecondsSinceStart;
using review::SleepUntil;
using review::Verdict;

constexpr int kWorkers = 5;  // one of them slow: 20 %, of 22 % at most
constexpr int kSlotsEach = 2;
constexpr int kProducers = 5;
constexpr int kJobMs = 800;        // a certificado runs for 590 to 1,100 ms on average
constexpr int kSlowFactor = 8;     // 3.7 to 9.6 times slower
constexpr double kSlowFrom = 8.0;  // seconds after the start; it lasts 10 to 32 s
constexpr double kSlowFor = 24.0;

Verdict Run(review::Record* record, bool trouble) {
  static review::Runs runs(record);
  static std::atomic<bool> slow = false;
  static review::Discovery discovery("[]");
  review::Dispatcher dispatcher("dispatcher", "faktory: {enabled: true, listen: \"127.0.0.1:0\"}\n",
                                {{"GW_DISCOVERY", discovery.address()}});
  const std::uint16_t faktory = dispatcher.PortOf("faktory");
  dispatcher.AwaitReady(dispatcher.PortOf("http"));
  for (int worker = 1; worker <= kWorkers; ++worker) {
    for (int slot = 0; slot < kSlotsEach; ++slot)
      review::StartFaktorySlot(faktory, "worker-" + std::to_string(worker), &runs,
                               [worker](const std::string& /*label*/) {
                                 return worker == 1 && slow ? kSlowFactor * kJobMs : kJobMs;
                               });
  }
  SleepUntil(SecondsSinceStart() + 1.0);

  const double end = kSlowFrom + kSlowFor;
  std::atomic<int> served = 0;
  std::vector<std::thread> producers;
  for (int i = 1; i <= kProducers; ++i) {
    producers.emplace_back([&served, record, faktory, end, i] {
      FaktorySession session(faktory);
      for (int n = 1; SecondsSinceStart() < end; ++n) {
        const std::string jid = "job-" + std::to_string(i) + "-" + std::to_string(n);
        record->Write("sent  PUSH certificado " + jid);
        const auto reply = review::Push(&session, review::PushCommand("certificado", jid, jid));
        record->Write("reply " + jid + ": " + reply.value_or("none, the connection has ended"));
        if (!reply)
          return;
        served += *reply == "+OK" ? 1 : 0;
        if (*reply != "+OK")
          SleepUntil(SecondsSinceStart() + 2.0);  // a refusal tells when to come back, 2 s at most
      }
    });
  }
  SleepUntil(kSlowFrom);
  if (trouble) {
    record->Write("slow  worker-1 runs its jobs " + std::to_string(kSlowFactor) +
                  " times slower from now on");
    slow = true;
  }
  for (std::thread& producer : producers)
    producer.join();
  SleepUntil(SecondsSinceStart() + 1e-3 * kSlowFactor * kJobMs);  // the last slow job ends

  bool broken = false;
  std::map<std::string, review::Run> last;
  for (const review::Run& run : runs.All()) {
    const auto earlier = last.find(run.id);
    if (earlier != last.end() && (earlier->second.end < 0.0 || run.begin < earlier->second.end)) {
      record->Write("BROKEN " + run.id + " began at " + run.worker + " at " + std::to_string(run.begin) +
                    " while " + earlier->second.worker + " had it from " +
                    std::to_string(earlier->second.begin) + " to " + std::to_string(earlier->second.end));
      broken = true;
    }
    last[run.id] = run;
  }
  record->Write("served " + std::to_string(served) + " jobs");
  if (broken)
    return Verdict::kBroken;
  return served < 20 ? Verdict::kCannotRun : Verdict::kHeld;
}

}  // namespace

int main() { return review::RunCase(Run); }
