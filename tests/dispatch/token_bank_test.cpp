// Tests of the throttle's banks and buffers and of the division of the token stream among tenants.
#include <gtest/gtest.h>

#include <limits>

#include "module_parts.h"

namespace aldersill::dispatch::testing {
namespace {

TEST(TokenBank, HoldsEightMeanJobsASecondsTokensAndTheirDeviation) {
  const TokenBank bank{.share = 0.5, .highest_price = 3};
  const TokenStream stream{.rate = 32.0, .mean_price = 2.0, .shortest_target = kSecond};
  EXPECT_EQ(bank.Capacity(stream), 3 + 16 + 16 + 8);
  EXPECT_EQ(bank.BufferCapacity(stream), 8);
}

TEST(TokenBank, BufferTakesTheHighestPriceHoweverSlowTheTokens) {
  const TokenBank bank{.share = 0.5, .tokens = 4, .owed = 2, .highest_price = 3};
  const TokenStream stream{.rate = 1.0, .shortest_target = kSecond};
  EXPECT_EQ(bank.BufferCapacity(stream), 3);
  EXPECT_EQ(bank.Counter(stream), 4 - 2 + 3);
}

TEST(TokenBank, CapacitiesStayInRangeAtARateBeyondInt) {
  const TokenBank bank{.share = 1.0, .tokens = 5, .owed = 2, .highest_price = 3};
  for (const double rate : {1e10, 1e300}) {
    const TokenStream stream{.rate = rate, .shortest_target = kSecond};
    const int largest = static_cast<int>(TokenBank::kMaxTokens);
    EXPECT_EQ(bank.Capacity(stream), 3 + largest);
    EXPECT_EQ(bank.BufferCapacity(stream), largest);
    EXPECT_EQ(bank.Counter(stream), 5 - 2 + largest);
    EXPECT_LT(bank.Capacity(stream), std::numeric_limits<int>::max() / 2 - bank.BufferCapacity(stream));
  }
}

// Settings with two tenants, whose quotas give ten tokens a second together.
Settings TwoTenants(double first_share, double second_share) {
  Settings settings = BasicSettings();
  settings.tenants = {{"first", first_share, 5.0}, {"second", second_share, 5.0}};
  return settings;
}

// Admits jobs of one tenant until one is not paid at once. Returns the number of jobs that were paid at once.
int FillBuffer(ModuleParts* parts, int tenant, int first_id) {
  for (int id = first_id;; ++id) {
    Request& request = parts->AddRequest(id, kRepeatableClass);
    request.tenant = tenant;
    if (parts->throttle.Admit(&request) != Throttle::Admission::kPaid)
      return id - first_id;
  }
}

TEST(Throttle, BeginsWithBanksHalfFull) {
  ModuleParts parts(TwoTenants(0.5, 0.5));
  parts.rate.Begin();
  parts.throttle.Begin();
  // The capacity is the highest price (1) plus eight mean jobs, the five tokens of a second and twice the
  // square root of five (17 in all).
  EXPECT_EQ(FillBuffer(&parts, 0, 1), (1 + 17) / 2);
}

TEST(Throttle, IssuesTokensByShare) {
  ModuleParts parts(TwoTenants(0.75, 0.25));
  parts.rate.Begin();
  parts.throttle.Begin();
  FillBuffer(&parts, 0, 100);
  FillBuffer(&parts, 1, 200);
  int paid[2] = {0, 0};
  for (int i = 0; i < 80; ++i) {
    Request* request = parts.throttle.IssueToken();
    if (request == nullptr)
      continue;
    ++paid[request->tenant];
    Request& next = parts.AddRequest(1000 + i, kRepeatableClass);
    next.tenant = request->tenant;
    EXPECT_EQ(parts.throttle.Admit(&next), Throttle::Admission::kBuffered);
  }
  EXPECT_EQ(paid[0], 60);
  EXPECT_EQ(paid[1], 20);
}

TEST(Throttle, TokenOfATenantWithAFullBankGoesToTheNeediestUnlessOverloaded) {
  for (const bool overloaded : {false, true}) {
    ModuleParts parts(TwoTenants(0.5, 0.5));
    parts.rate.Begin();
    parts.throttle.Begin();
    for (int i = 0; i < 100; ++i) {
      for (int tenant = 0; tenant < parts.throttle.tenants(); ++tenant)
        parts.throttle.AddToken(tenant);
    }
    for (int i = 0; overloaded && i < 10; ++i)
      parts.rate.RecordFailure();
    FillBuffer(&parts, 0, 100);
    int paid = 0;
    for (int i = 0; i < 40; ++i) {
      Request* request = parts.throttle.IssueToken();
      if (request == nullptr)
        continue;
      ++paid;
      Request& next = parts.AddRequest(1000 + i, kRepeatableClass);
      parts.throttle.Admit(&next);
    }
    EXPECT_EQ(paid, overloaded ? 20 : 40);
  }
}

TEST(Throttle, RemovingABufferedJobReturnsWhatWasPaid) {
  ModuleParts parts(TwoTenants(0.5, 0.5));
  parts.rate.Begin();
  parts.throttle.Begin();
  FillBuffer(&parts, 0, 100);
  EXPECT_NE(parts.throttle.AddToken(0), nullptr);  // completes the price of the only buffered job
  Request& expensive = parts.AddRequest(1, kRepeatableClass);
  expensive.price = 3;
  ASSERT_EQ(parts.throttle.Admit(&expensive), Throttle::Admission::kBuffered);
  EXPECT_EQ(parts.throttle.AddToken(0), nullptr);
  EXPECT_EQ(parts.throttle.RemoveFromBuffer(expensive), 1);
  EXPECT_EQ(parts.throttle.RemoveFromBuffer(expensive), 0);
  EXPECT_TRUE(parts.throttle.buffered(0).empty());
}

TEST(Throttle, UnlistedTenantsShareOneBank) {
  const ModuleParts parts(TwoTenants(0.5, 0.5));
  EXPECT_EQ(parts.throttle.TenantOf("second"), 1);
  EXPECT_EQ(parts.throttle.TenantOf("unlisted"), 2);
  EXPECT_EQ(parts.throttle.TenantOf(""), 2);
}

TEST(Throttle, ALongPauseOwesThirtySecondsOfTokensAtMost) {
  ModuleParts parts(TwoTenants(0.5, 0.5));
  parts.rate.Begin();
  parts.throttle.Begin();
  parts.Advance(1000 * kSecond);
  parts.throttle.ForgetOldTokens();
  int issued = 0;
  for (; parts.throttle.IsTokenDue(); ++issued)
    parts.throttle.IssueToken();
  EXPECT_NEAR(issued, 300, 1);
}

}  // namespace
}  // namespace aldersill::dispatch::testing
