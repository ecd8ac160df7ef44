// Tests that each request gets exactly one final answer, in time.
#include <gtest/gtest.h>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

int FinalAnswers(const std::vector<Action>& actions) { return Count<Reject>(actions) + Count<Fail>(actions); }

TEST(FinalAnswer, AnswersAtTheDeadlineWhereTheAttemptIsSilent) {
  for (const char* job_class : kClasses) {
    Driver driver(BasicSettings());
    driver.List({Entry("a")});
    driver.Arrive(1, job_class, 2 * kSecond);
    EXPECT_EQ(FinalAnswers(driver.Advance(driver.now + 2 * kSecond - 1)), 0) << job_class;
    EXPECT_EQ(FinalAnswers(driver.Advance(driver.now + 1)), 1) << job_class;
    EXPECT_EQ(FinalAnswers(driver.End(1, 0, Outcome::kTimeout)), 0) << job_class;
    EXPECT_EQ(FinalAnswers(driver.Advance(driver.now + 10 * kSecond)), 0) << job_class;
  }
}

TEST(FinalAnswer, DoesNothingAfterTheRequestHasEnded) {
  for (const char* job_class : kClasses) {
    Driver driver(BasicSettings());
    driver.List({Entry("a"), Entry("b")});
    driver.Arrive(1, job_class);
    driver.End(1, 0, Outcome::kServed, true);
    driver.all.clear();
    driver.End(1, 0, Outcome::kServed, true);
    driver.Do(ClientGone{RequestId{1}});
    driver.Advance(driver.now + 10 * kSecond);
    EXPECT_EQ(FinalAnswers(driver.all) + Count<Send>(driver.all), 0) << job_class;
  }
}

TEST(FinalAnswer, SendsNoAnswerToAClientThatHasDisconnected) {
  for (const char* job_class : kClasses) {
    Driver driver(BasicSettings());
    driver.List({Entry("a"), Entry("b")});
    driver.Arrive(1, job_class);
    driver.Do(ClientGone{RequestId{1}});
    driver.all.clear();
    driver.End(1, 0, Outcome::kError);
    driver.Advance(driver.now + 10 * kSecond);
    EXPECT_EQ(FinalAnswers(driver.all) + Count<Send>(driver.all), 0) << job_class;
  }
}

// The event must take effect before the tokens issued up to its time, which would send or reject the job.
TEST(FinalAnswer, SendsNoAnswerToAClientThatDisconnectedWhileItsJobWasBuffered) {
  Settings settings = BasicSettings();
  settings.tenants = {{"only", 1.0, 5.0}};
  Driver driver(settings);
  driver.List({Entry("a"), Entry("b")});
  int id = 0;
  while (Count<Send>(driver.Arrive(++id, "unsafe", 5 * kSecond, 1, "only")) > 0)
    continue;
  ASSERT_EQ(Count<Reject>(driver.all), 0);  // the last job is buffered
  driver.now += kSecond;
  ClientGone gone;
  gone.request = RequestId{static_cast<std::uint64_t>(id)};
  const auto actions = driver.Do(gone);
  EXPECT_EQ(Count<Reject>(actions) + Count<Send>(actions), 0);
}

TEST(FinalAnswer, RejectsAtOnceWithoutTimeWorkerOrKnownClass) {
  for (const char* job_class : kClasses) {
    Driver driver(BasicSettings());
    EXPECT_EQ(Count<Reject>(driver.Arrive(1, job_class)), 1) << job_class;
    driver.List({Entry("a")});
    EXPECT_EQ(Count<Reject>(driver.Arrive(2, job_class, 0)), 1) << job_class;
    EXPECT_EQ(Count<Reject>(driver.Arrive(3, "unheard-of")), 1);
  }
}

TEST(FinalAnswer, AppliesNoDeadlineOnceAStreamHasStarted) {
  Settings settings = BasicSettings();
  for (ClassSettings& job_class : settings.classes)
    job_class.streaming = true;
  Driver driver(settings);
  driver.List({Entry("a")});
  driver.Arrive(1, "unsafe", kSecond);
  driver.Do(StreamStarted{RequestId{1}, 0});
  EXPECT_EQ(FinalAnswers(driver.Advance(driver.now + 10 * kSecond)), 0);
}

TEST(FinalAnswer, IgnoresAnArrivalWithAKnownId) {
  Driver driver(BasicSettings());
  driver.List({Entry("a")});
  driver.Arrive(1, "unsafe");
  EXPECT_TRUE(driver.Arrive(1, "unsafe").empty());
}

}  // namespace
}  // namespace aldersill::dispatch::testing
