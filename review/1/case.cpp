// The id of another client's open request comes by the other frontend. See claim.txt.
#include <atomic>
#include <cstdlib>
#include <thread>

#include "harness.h"

namespace {

using aldersill::tools::FaktorySession;
using review::SecondsSinceStart;
using review::SleepUntil;
using review::Verdict;

constexpr int kVictimMs = 5'000;
constexpr int kIntruderMs = 2'000;
constexpr int kDeadlineMs = 9'000;

int RunMs(const std::string& label) { return label.starts_with("victim") ? kVictimMs : kIntruderMs; }

// The time at which a worker had done the job of this label; negative if none has.
double DoneAt(const review::Runs& runs, const std::string& label) {
  for (const review::Run& run : runs.All()) {
    if (run.label == label && run.end >= 0.0)
      return run.end;
  }
  return -1.0;
}

struct Case {
  review::Record* record;
  bool trouble;
  std::uint16_t http = 0;
  std::uint16_t faktory = 0;
  review::Runs runs{record};
  bool broken = false;
  bool unserved = false;

  void PushAndRecord(const std::string& who, const std::string& jid, std::string* reply, double* at) const {
    FaktorySession session(faktory);
    record->Write("sent  " + who + " pushes cobro " + jid + " over Faktory");
    *reply = review::Push(&session, review::PushCommand("cobro", jid, who)).value_or("(closed)");
    *at = SecondsSinceStart();
    record->Write("reply " + who + " " + jid + ": " + *reply);
  }
  void PostAndRecord(const std::string& who, const std::string& id, review::HttpAnswer* answer) const {
    record->Write("sent  " + who + " posts cobro " + id + " over HTTP");
    *answer =
        review::PostJob(http, "cobro", id, kDeadlineMs, who).value_or(review::HttpAnswer{0, "(closed)"});
    record->Write("reply " + who + " " + id + ": " + std::to_string(answer->status) + " " + answer->body);
  }

  // The client over HTTP has a request open; the bad client sends its id over Faktory.
  void HttpVictim() {
    review::HttpAnswer answer;
    std::string intruder_reply;
    double intruder_at = 0.0;
    std::thread victim([&] { PostAndRecord("victim-http", "id-1", &answer); });
    SleepUntil(SecondsSinceStart() + 0.5);
    std::thread intruder(
        [&] { PushAndRecord("intruder-faktory", trouble ? "id-1" : "id-2", &intruder_reply, &intruder_at); });
    victim.join();
    intruder.join();
    unserved = unserved || answer.status != 200;
    if (answer.status != 200 || answer.body == "made for victim-http")
      return;
    record->Write("BROKEN victim-http was served with '" + answer.body + "', which no worker made for it");
    broken = true;
  }

  // The client over Faktory has a job open; the bad client sends its id over HTTP.
  void FaktoryVictim() {
    std::string reply;
    double replied_at = 0.0;
    review::HttpAnswer intruder_answer;
    std::thread victim([&] { PushAndRecord("victim-faktory", "id-3", &reply, &replied_at); });
    SleepUntil(SecondsSinceStart() + 0.5);
    std::thread intruder(
        [&] { PostAndRecord("intruder-http", trouble ? "id-3" : "id-4", &intruder_answer); });
    victim.join();
    intruder.join();
    SleepUntil(SecondsSinceStart() + 1.0);
    unserved = unserved || reply != "+OK";
    const double done_at = DoneAt(runs, "victim-faktory");
    if (reply == "+OK" && (done_at < 0.0 || replied_at < done_at)) {
      record->Write("BROKEN victim-faktory was told +OK before any worker had done its job");
      broken = true;
    }
    if (trouble && intruder_answer.status == 200) {
      record->Write("BROKEN intruder-http was served in place of an error");
      broken = true;
    }
  }

  Verdict Run() {
    static const review::Discovery discovery("[]");
    review::Dispatcher dispatcher("dispatcher", "faktory: {enabled: true, listen: \"127.0.0.1:0\"}\n",
                                  {{"GW_DISCOVERY", discovery.address()}});
    http = dispatcher.PortOf("http");
    faktory = dispatcher.PortOf("faktory");
    dispatcher.AwaitReady(http);
    for (int slot = 0; slot < 4; ++slot)
      review::StartFaktorySlot(faktory, "worker-1", &runs, RunMs);
    SleepUntil(SecondsSinceStart() + 1.0);
    HttpVictim();
    SleepUntil(SecondsSinceStart() + 1.0);
    FaktoryVictim();
    if (broken)
      return Verdict::kBroken;
    return !trouble && unserved ? Verdict::kCannotRun : Verdict::kHeld;
  }
};

}  // namespace

int main() {
  return review::RunCase([](review::Record* record, bool trouble) {
    static Case* kept = nullptr;  // outlives the threads of the stand-ins
    kept = new Case{.record = record, .trouble = trouble};
    const Verdict verdict = kept->Run();
    return verdict;
  });
}
