// Tests the simulator adapter through its text protocol: valid input, malformed input and the isolation of
// its instances.
#include <gtest/gtest.h>

#include <sstream>
#include <string>

#include "simulator_adapter/host.h"

namespace aldersill::simulator_adapter {
namespace {

// The fields of a 'born' line; '%' stands for the seed.
const char kSettingsFields[] =
    "nonce64=%\tdiscovery=automatic\tgrades.count=2\tgrades.0.name=safe\tgrades.0.repeat=retryable\t"
    "grades.0.target=150000\tgrades.0.deadline=5000000\tgrades.1.name=once\tgrades.1.repeat=fragile\t"
    "grades.1.target=200000\tgrades.1.deadline=7500000\tfamilyInfo.classKind=-1,0\tfamilyInfo.classStretch=2."
    "0,2.5\t"
    "familyInfo.tellsStart=true\tlimits.maxAttempts=3\tlimits.cancel=true\tlimits.secondCopies=true\t"
    "locality=a\tzones=a,b\tmachineTypes=big,small\tpeersTotal=2\treport.how=piggyback\tsome.new.key=1\t"
    "rules.drainGrace=500000\ttenants.count=1\ttenants.0.name=t\ttenants.0.share=1.0\ttenants.0.quotaPerS=50."
    "0";

// The lines that start an instance and pass it a list of two workers.
std::string BornLines(int who, int seed) {
  std::string line = "born\twho=" + std::to_string(who) + "\t" + kSettingsFields;
  line.replace(line.find('%'), 1, std::to_string(seed));
  return line + "\nannounce\twho=" + std::to_string(who) +
         "\tstamp=1\tform=2\thosts=2\nm\tstageState=1\tweight=1\texecutor=x1\tpod=0\tfamilyType=big\tarea=a\n"
         "m\tstageState=1\tweight=1\texecutor=x2\tpod=0\tfamilyType=small\tarea=a\tsince=5\tnovel=1\n";
}

std::string Batch(int serial, const std::string& events) {
  return "turn\tatTime=" + std::to_string(8'000'000 + serial * 10'000) +
         "\tserial=" + std::to_string(serial) + "\n" + events + "end\n";
}

std::string IngressLine(int who, int request, const std::string& job_class) {
  return "ingress\twho=" + std::to_string(who) + "\treq=" + std::to_string(request) + "\tclass=" + job_class +
         "\tuserGroup=t\tttl=5000000\tneeds=1\n";
}

struct Result {
  int exit_code;
  std::string out;
  std::string errors;
};

Result RunAdapter(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream errors;
  const int exit_code = Serve(in, out, errors);
  return {exit_code, out.str(), errors.str()};
}

TEST(Wire, AnswersAnEmptyBatch) {
  const Result result = RunAdapter(Batch(1, ""));
  EXPECT_EQ(result.exit_code, 0);
  EXPECT_EQ(result.out, "ready\tserial=1\n");
  EXPECT_EQ(result.errors, "");
}

TEST(Wire, EndsAtTheEndOfInput) { EXPECT_EQ(RunAdapter("").exit_code, 0); }

TEST(Wire, CarriesARequestThroughItsLife) {
  const Result result =
      RunAdapter(Batch(1, BornLines(3, 7)) + Batch(2, IngressLine(3, 4503599627370495 % 1000000007, "once")) +
                 Batch(3, "note\twho=3\treq=" + std::to_string(4503599627370495 % 1000000007) +
                              "\tshot=0\twhat=1\texecutor=x1\n") +
                 Batch(4, "settled\twho=3\treq=" + std::to_string(4503599627370495 % 1000000007) +
                              "\tlast=1\texecutor=x1\tshot=0\telapsed=20000\tresult=delivered\tstats="
                              "pending:3,served_ps:140,x0:0.4\n"));
  EXPECT_EQ(result.exit_code, 0) << result.errors;
  // The class runs only on workers of the first kind.
  EXPECT_NE(result.out.find("forward\twho=3\treq=" + std::to_string(4503599627370495 % 1000000007) +
                            "\texecutor=x1\n"),
            std::string::npos)
      << result.out;
  EXPECT_NE(result.out.find("ready\tserial=4\n"), std::string::npos);
}

TEST(Wire, AnInstanceCanEndAndStartAgainInOneBatch) {
  const Result result = RunAdapter(Batch(1, BornLines(3, 7)) + Batch(2, IngressLine(3, 1, "safe")) +
                                   Batch(3, "detach\twho=3\n" + BornLines(3, 8) + IngressLine(3, 2, "safe")));
  EXPECT_EQ(result.exit_code, 0) << result.errors;
  EXPECT_NE(result.out.find("forward\twho=3\treq=2"), std::string::npos);
}

TEST(Wire, MeaningsOfShedAndDroppedAreDistinguished) {
  // The outcome 'shed' proves that the job did not run, so it is tried again; the action 'shed' rejects a
  // job. After the outcome 'dropped' the job may have run, so an unsafe job fails; the event 'dropped' says
  // that the client has disconnected.
  const std::string start = Batch(1, BornLines(3, 7)) + Batch(2, IngressLine(3, 1, "safe"));
  const auto settled = [](const char* result) {
    return Batch(
        3, std::string("settled\twho=3\treq=1\texecutor=x1\tshot=0\telapsed=9\tresult=") + result + "\n");
  };
  EXPECT_NE(RunAdapter(start + settled("shed")).out.rfind("forward"),
            RunAdapter(start + Batch(3, "")).out.rfind("forward"));
  const std::string once = Batch(1, BornLines(3, 7)) + Batch(2, IngressLine(3, 1, "once"));
  EXPECT_NE(RunAdapter(once + settled("dropped")).out.find("lose\twho=3\treq=1"), std::string::npos);
  EXPECT_EQ(RunAdapter(once + Batch(3, "dropped\twho=3\treq=1\n")).out.find("lose"), std::string::npos);
}

TEST(Wire, BadInputEndsTheAdapterWithOneMessage) {
  const std::string good = Batch(1, BornLines(3, 7));
  const struct {
    std::string input;
    std::string expected_text;
  } cases[] = {
      {"ingress\twho=3\treq=1\n", "line 1"},
      {"turn\tatTime=1\tserial=1\n", "truncated"},
      {"turn\tatTime=x\tserial=1\nend\n", "atTime"},
      {"turn\tserial=1\nend\n", "atTime"},
      {"turn\tatTime=1\tserial=1\nbogus\twho=1\nend\n", "bogus"},
      {good + Batch(2, "ingress\twho=3\tclass=safe\tttl=5\n"), "req"},
      {good + Batch(2, "ingress\twho=3\treq=-4\tclass=safe\tttl=5\n"), "req"},
      {good + Batch(2, "ingress\twho=3\treq=1\tclass=safe\tttl=soon\n"), "ttl"},
      {good + Batch(2, "ingress\twho=9\treq=1\tclass=safe\tttl=5\n"), "who"},
      {good + Batch(2, "settled\twho=3\treq=1\tshot=0\tresult=fine\n"), "result"},
      {good + Batch(2, "settled\twho=3\treq=1\tshot=0\tresult=shed\tstats=x0:many\n"), "stats"},
      {good + Batch(2, "announce\twho=3\tstamp=2\tform=0\thosts=1\n"), "worker list"},
      {good + Batch(2, "announce\twho=3\tstamp=2\tform=7\thosts=0\n"), "form"},
      {good + Batch(2, "announce\twho=3\tstamp=2\tform=0\thosts=1\nm\tstageState=5\texecutor=x\n"),
       "stageState"},
      {good + Batch(2, "timer\twho=3\ttoken\n"), "token"},
  };
  for (const auto& bad_case : cases) {
    const Result result = RunAdapter(bad_case.input);
    EXPECT_NE(result.exit_code, 0) << bad_case.input;
    EXPECT_NE(result.errors.find(bad_case.expected_text), std::string::npos) << result.errors;
    EXPECT_NE(result.errors.find("line "), std::string::npos) << result.errors;
    EXPECT_EQ(std::count(result.errors.begin(), result.errors.end(), '\n'), 1) << result.errors;
    for (std::istringstream out(result.out); out.good();) {
      std::string line;
      std::getline(out, line);
      EXPECT_EQ(line.find("bogus"), std::string::npos);
    }
  }
}

TEST(Wire, InvalidSettingsAreReportedAsAFault) {
  std::string born = BornLines(3, 7);
  born.replace(born.find("peersTotal=2"), 12, "peersTotal=0");
  born = born.substr(0, born.find('\n') + 1);
  const Result result = RunAdapter(Batch(1, born));
  EXPECT_EQ(result.exit_code, 0);
  EXPECT_NE(result.out.find("broken\twho=3\tmessage=setting nodes"), std::string::npos) << result.out;
}

TEST(Wire, LongBatchesAreServedCompletely) {
  std::string events;
  for (int i = 1; i <= 20'000; ++i)
    events += IngressLine(3, i, "safe");
  const Result result = RunAdapter(Batch(1, BornLines(3, 7)) + Batch(2, events));
  EXPECT_EQ(result.exit_code, 0);
  std::size_t answers = 0;
  for (std::size_t at = 0; (at = result.out.find("shed\twho", at)) != std::string::npos; ++at)
    ++answers;
  EXPECT_GT(answers, 19'000u);
}

// The output lines of one instance, so that its actions with and without other instances can be compared.
std::string LinesOf(const std::string& out, int who) {
  std::istringstream in(out);
  std::string kept;
  const std::string who_field = "\twho=" + std::to_string(who) + "\t";
  for (std::string line; std::getline(in, line);) {
    if (line.find(who_field) != std::string::npos)
      kept += line + "\n";
  }
  return kept;
}

TEST(Wire, InstancesActTheSameAloneAndTogether) {
  std::string together;
  std::string alone[3];
  for (int serial = 1; serial <= 300; ++serial) {
    std::string all;
    for (int who = 0; who < 3; ++who) {
      std::string events;
      if (serial == 1)
        events = BornLines(who, 100 + who);
      if (serial > 1)
        events += IngressLine(who, serial * 3 + who, serial % 2 == 0 ? "safe" : "once");
      if (serial % 7 == who) {
        events += "settled\twho=" + std::to_string(who) + "\treq=" + std::to_string((serial - 1) * 3 + who) +
                  "\texecutor=x1\tshot=0\telapsed=900\tresult=" + (serial % 3 == 0 ? "shed" : "app_error") +
                  "\n";
      }
      all += events;
      alone[who] += Batch(serial, events);
    }
    together += Batch(serial, all);
  }
  const Result shared = RunAdapter(together);
  ASSERT_EQ(shared.exit_code, 0) << shared.errors;
  for (int who = 0; who < 3; ++who) {
    const std::string lines = LinesOf(shared.out, who);
    EXPECT_FALSE(lines.empty());
    EXPECT_EQ(lines, LinesOf(RunAdapter(alone[who]).out, who));
  }
  EXPECT_EQ(shared.out, RunAdapter(together).out);
}

}  // namespace
}  // namespace aldersill::simulator_adapter
