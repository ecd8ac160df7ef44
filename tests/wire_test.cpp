// The adapter: good input, bad input, isolation of its instances.
#include <gtest/gtest.h>

#include <sstream>
#include <string>

#include "simulator_adapter/host.h"

namespace aldersill::simulator_adapter {
namespace {

const char kBornLine[] =
    "nonce64=%\tdiscovery=automatic\tgrades.count=2\tgrades.0.name=safe\tgrades.0.repeat=retryable\t"
    "grades.0.target=150000\tgrades.0.deadline=5000000\tgrades.1.name=once\tgrades.1.repeat=fragile\t"
    "grades.1.target=200000\tgrades.1.deadline=7500000\tfamilyInfo.classKind=-1,0\tfamilyInfo.classStretch=2."
    "0,2.5\t"
    "familyInfo.tellsStart=true\tlimits.maxAttempts=3\tlimits.cancel=true\tlimits.secondCopies=true\t"
    "locality=a\tzones=a,b\tmachineTypes=big,small\tpeersTotal=2\treport.how=piggyback\tsome.new.key=1\t"
    "rules.drainGrace=500000\ttenants.count=1\ttenants.0.name=t\ttenants.0.share=1.0\ttenants.0.quotaPerS=50."
    "0";

std::string Born(int who, int seed) {
  std::string line = "born\twho=" + std::to_string(who) + "\t" + kBornLine;
  line.replace(line.find('%'), 1, std::to_string(seed));
  return line + "\nannounce\twho=" + std::to_string(who) +
         "\tstamp=1\tform=2\thosts=2\nm\tstageState=1\tweight=1\texecutor=x1\tpod=0\tfamilyType=big\tarea=a\n"
         "m\tstageState=1\tweight=1\texecutor=x2\tpod=0\tfamilyType=small\tarea=a\tsince=5\tnovel=1\n";
}

std::string Turn(int serial, const std::string& events) {
  return "turn\tatTime=" + std::to_string(8'000'000 + serial * 10'000) +
         "\tserial=" + std::to_string(serial) + "\n" + events + "end\n";
}

std::string Ingress(int who, int request, const std::string& job_class) {
  return "ingress\twho=" + std::to_string(who) + "\treq=" + std::to_string(request) + "\tclass=" + job_class +
         "\tuserGroup=t\tttl=5000000\tneeds=1\n";
}

struct Played {
  int code;
  std::string out;
  std::string errors;
};

Played Play(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream errors;
  const int code = Serve(in, out, errors);
  return {code, out.str(), errors.str()};
}

TEST(Wire, AnswersAnEmptyBatch) {
  const Played run = Play(Turn(1, ""));
  EXPECT_EQ(run.code, 0);
  EXPECT_EQ(run.out, "ready\tserial=1\n");
  EXPECT_EQ(run.errors, "");
}

TEST(Wire, EndsAtTheEndOfInput) { EXPECT_EQ(Play("").code, 0); }

TEST(Wire, CarriesARequestThroughItsLife) {
  const Played run = Play(Turn(1, Born(3, 7)) + Turn(2, Ingress(3, 4503599627370495 % 1000000007, "once")) +
                          Turn(3, "note\twho=3\treq=" + std::to_string(4503599627370495 % 1000000007) +
                                      "\tshot=0\twhat=1\texecutor=x1\n") +
                          Turn(4, "settled\twho=3\treq=" + std::to_string(4503599627370495 % 1000000007) +
                                      "\tlast=1\texecutor=x1\tshot=0\telapsed=20000\tresult=delivered\tstats="
                                      "pending:3,served_ps:140,x0:0.4\n"));
  EXPECT_EQ(run.code, 0) << run.errors;
  // The class runs on the first kind only.
  EXPECT_NE(run.out.find("forward\twho=3\treq=" + std::to_string(4503599627370495 % 1000000007) +
                         "\texecutor=x1\n"),
            std::string::npos)
      << run.out;
  EXPECT_NE(run.out.find("ready\tserial=4\n"), std::string::npos);
}

TEST(Wire, AnInstanceCanDieAndBeBornInOneBatch) {
  const Played run = Play(Turn(1, Born(3, 7)) + Turn(2, Ingress(3, 1, "safe")) +
                          Turn(3, "detach\twho=3\n" + Born(3, 8) + Ingress(3, 2, "safe")));
  EXPECT_EQ(run.code, 0) << run.errors;
  EXPECT_NE(run.out.find("forward\twho=3\treq=2"), std::string::npos);
}

TEST(Wire, TheTwoShedsAndTheTwoDroppedsAreDistinguished) {
  // As an outcome 'shed' proves that nothing ran: the job goes on. As an outcome 'dropped' it may have run,
  // and an unsafe job fails; as an event it means that the client left.
  const std::string start = Turn(1, Born(3, 7)) + Turn(2, Ingress(3, 1, "safe"));
  const auto settled = [](const char* result) {
    return Turn(
        3, std::string("settled\twho=3\treq=1\texecutor=x1\tshot=0\telapsed=9\tresult=") + result + "\n");
  };
  EXPECT_NE(Play(start + settled("shed")).out.rfind("forward"),
            Play(start + Turn(3, "")).out.rfind("forward"));
  const std::string once = Turn(1, Born(3, 7)) + Turn(2, Ingress(3, 1, "once"));
  EXPECT_NE(Play(once + settled("dropped")).out.find("lose\twho=3\treq=1"), std::string::npos);
  EXPECT_EQ(Play(once + Turn(3, "dropped\twho=3\treq=1\n")).out.find("lose"), std::string::npos);
}

TEST(Wire, BadInputEndsTheAdapterWithOnePlainMessage) {
  const std::string good = Turn(1, Born(3, 7));
  const struct {
    std::string input;
    std::string named;
  } cases[] = {
      {"ingress\twho=3\treq=1\n", "line 1"},
      {"turn\tatTime=1\tserial=1\n", "truncated"},
      {"turn\tatTime=x\tserial=1\nend\n", "atTime"},
      {"turn\tserial=1\nend\n", "atTime"},
      {"turn\tatTime=1\tserial=1\nbogus\twho=1\nend\n", "bogus"},
      {good + Turn(2, "ingress\twho=3\tclass=safe\tttl=5\n"), "req"},
      {good + Turn(2, "ingress\twho=3\treq=-4\tclass=safe\tttl=5\n"), "req"},
      {good + Turn(2, "ingress\twho=3\treq=1\tclass=safe\tttl=soon\n"), "ttl"},
      {good + Turn(2, "ingress\twho=9\treq=1\tclass=safe\tttl=5\n"), "who"},
      {good + Turn(2, "settled\twho=3\treq=1\tshot=0\tresult=fine\n"), "result"},
      {good + Turn(2, "settled\twho=3\treq=1\tshot=0\tresult=shed\tstats=x0:many\n"), "stats"},
      {good + Turn(2, "announce\twho=3\tstamp=2\tform=0\thosts=1\n"), "worker list"},
      {good + Turn(2, "announce\twho=3\tstamp=2\tform=7\thosts=0\n"), "form"},
      {good + Turn(2, "announce\twho=3\tstamp=2\tform=0\thosts=1\nm\tstageState=5\texecutor=x\n"),
       "stageState"},
      {good + Turn(2, "timer\twho=3\ttoken\n"), "token"},
  };
  for (const auto& c : cases) {
    const Played run = Play(c.input);
    EXPECT_NE(run.code, 0) << c.input;
    EXPECT_NE(run.errors.find(c.named), std::string::npos) << run.errors;
    EXPECT_NE(run.errors.find("line "), std::string::npos) << run.errors;
    EXPECT_EQ(std::count(run.errors.begin(), run.errors.end(), '\n'), 1) << run.errors;
    for (std::istringstream out(run.out); out.good();) {
      std::string line;
      std::getline(out, line);
      EXPECT_EQ(line.find("bogus"), std::string::npos);
    }
  }
}

TEST(Wire, SettingsThatMakeNoSenseBecomeAFault) {
  std::string born = Born(3, 7);
  born.replace(born.find("peersTotal=2"), 12, "peersTotal=0");
  born = born.substr(0, born.find('\n') + 1);
  const Played run = Play(Turn(1, born));
  EXPECT_EQ(run.code, 0);
  EXPECT_NE(run.out.find("broken\twho=3\tmessage=setting nodes"), std::string::npos) << run.out;
}

TEST(Wire, LongBatchesAreServedCompletely) {
  std::string events;
  for (int i = 1; i <= 20'000; ++i)
    events += Ingress(3, i, "safe");
  const Played run = Play(Turn(1, Born(3, 7)) + Turn(2, events));
  EXPECT_EQ(run.code, 0);
  std::size_t answers = 0;
  for (std::size_t at = 0; (at = run.out.find("shed\twho", at)) != std::string::npos; ++at)
    ++answers;
  EXPECT_GT(answers, 19'000u);
}

// Keeps the lines of one instance, so that runs with and without company can be compared.
std::string LinesOf(const std::string& out, int who) {
  std::istringstream in(out);
  std::string kept;
  const std::string mark = "\twho=" + std::to_string(who) + "\t";
  for (std::string line; std::getline(in, line);) {
    if (line.find(mark) != std::string::npos)
      kept += line + "\n";
  }
  return kept;
}

TEST(Wire, InstancesActAlikeAloneAndTogether) {
  std::string together;
  std::string alone[3];
  for (int serial = 1; serial <= 300; ++serial) {
    std::string all;
    for (int who = 0; who < 3; ++who) {
      std::string events;
      if (serial == 1)
        events = Born(who, 100 + who);
      if (serial > 1)
        events += Ingress(who, serial * 3 + who, serial % 2 == 0 ? "safe" : "once");
      if (serial % 7 == who) {
        events += "settled\twho=" + std::to_string(who) + "\treq=" + std::to_string((serial - 1) * 3 + who) +
                  "\texecutor=x1\tshot=0\telapsed=900\tresult=" + (serial % 3 == 0 ? "shed" : "app_error") +
                  "\n";
      }
      all += events;
      alone[who] += Turn(serial, events);
    }
    together += Turn(serial, all);
  }
  const Played shared = Play(together);
  ASSERT_EQ(shared.code, 0) << shared.errors;
  for (int who = 0; who < 3; ++who) {
    const std::string lines = LinesOf(shared.out, who);
    EXPECT_FALSE(lines.empty());
    EXPECT_EQ(lines, LinesOf(Play(alone[who]).out, who));
  }
  EXPECT_EQ(shared.out, Play(together).out);
}

}  // namespace
}  // namespace aldersill::simulator_adapter
