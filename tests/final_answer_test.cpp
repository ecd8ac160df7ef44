// Each request gets one final answer, in time.
#include <gtest/gtest.h>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

int FinalAnswers(const std::vector<Action>& actions) { return Count<Reject>(actions) + Count<Fail>(actions); }

TEST(FinalAnswer, AnswersAtTheDeadlineWhereTheAttemptIsSilent) {
  for (const char* job_class : kClasses) {
    Driver d(BasicSettings());
    d.List({Entry("a")});
    d.Arrive(1, job_class, 2 * kSecond);
    EXPECT_EQ(FinalAnswers(d.Advance(d.now + 2 * kSecond - 1)), 0) << job_class;
    EXPECT_EQ(FinalAnswers(d.Advance(d.now + 1)), 1) << job_class;
    EXPECT_EQ(FinalAnswers(d.End(1, 0, Outcome::kTimeout)), 0) << job_class;
    EXPECT_EQ(FinalAnswers(d.Advance(d.now + 10 * kSecond)), 0) << job_class;
  }
}

TEST(FinalAnswer, DoesNothingAfterTheRequestHasEnded) {
  for (const char* job_class : kClasses) {
    Driver d(BasicSettings());
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, job_class);
    d.End(1, 0, Outcome::kServed, true);
    d.all.clear();
    d.End(1, 0, Outcome::kServed, true);
    d.Do(ClientGone{RequestId{1}});
    d.Advance(d.now + 10 * kSecond);
    EXPECT_EQ(FinalAnswers(d.all) + Count<Send>(d.all), 0) << job_class;
  }
}

TEST(FinalAnswer, SendsNoAnswerToAClientThatHasDisconnected) {
  for (const char* job_class : kClasses) {
    Driver d(BasicSettings());
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, job_class);
    d.Do(ClientGone{RequestId{1}});
    d.all.clear();
    d.End(1, 0, Outcome::kError);
    d.Advance(d.now + 10 * kSecond);
    EXPECT_EQ(FinalAnswers(d.all) + Count<Send>(d.all), 0) << job_class;
  }
}

// The event takes effect before the tokens of the time that led up to it, which would send or reject the job.
TEST(FinalAnswer, SendsNoAnswerToAClientThatDisconnectedWhileItsJobWasBuffered) {
  Settings s = BasicSettings();
  s.tenants = {{"only", 1.0, 5.0}};
  Driver d(s);
  d.List({Entry("a"), Entry("b")});
  int id = 0;
  while (Count<Send>(d.Arrive(++id, "unsafe", 5 * kSecond, 1, "only")) > 0)
    continue;
  ASSERT_EQ(Count<Reject>(d.all), 0);  // the last one is held
  d.now += kSecond;
  ClientGone gone;
  gone.request = RequestId{static_cast<std::uint64_t>(id)};
  const auto actions = d.Do(gone);
  EXPECT_EQ(Count<Reject>(actions) + Count<Send>(actions), 0);
}

TEST(FinalAnswer, RejectsAtOnceWithoutTimeWorkerOrKnownClass) {
  for (const char* job_class : kClasses) {
    Driver d(BasicSettings());
    EXPECT_EQ(Count<Reject>(d.Arrive(1, job_class)), 1) << job_class;
    d.List({Entry("a")});
    EXPECT_EQ(Count<Reject>(d.Arrive(2, job_class, 0)), 1) << job_class;
    EXPECT_EQ(Count<Reject>(d.Arrive(3, "unheard-of")), 1);
  }
}

TEST(FinalAnswer, AppliesNoDeadlineOnceAStreamHasStarted) {
  Settings s = BasicSettings();
  for (ClassSettings& c : s.classes)
    c.streaming = true;
  Driver d(s);
  d.List({Entry("a")});
  d.Arrive(1, "unsafe", kSecond);
  d.Do(StreamStarted{RequestId{1}, 0});
  EXPECT_EQ(FinalAnswers(d.Advance(d.now + 10 * kSecond)), 0);
}

TEST(FinalAnswer, IgnoresAnArrivalWithAKnownId) {
  Driver d(BasicSettings());
  d.List({Entry("a")});
  d.Arrive(1, "unsafe");
  EXPECT_TRUE(d.Arrive(1, "unsafe").empty());
}

}  // namespace
}  // namespace aldersill::dispatch::testing
