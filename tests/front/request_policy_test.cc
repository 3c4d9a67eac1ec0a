#include <doctest/doctest.h>

#include "ibishold/request_policy.h"
#include "tests/front/front_documents.h"

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName kStock("stock");
const TimePoint kStart{seconds(100)};

std::shared_ptr<const Table> MakeTable(RowState state, std::uint32_t weight) {
  auto table = std::make_shared<Table>();
  TableRow row = testing::MakeRow("dc-0", state);
  row.weight = weight;
  table->rows.push_back(row);
  return table;
}

}  // namespace

TEST_CASE("admission control") {
  Admission admission;
  TableRow limits;
  limits.max_in_flight = 10;
  limits.rate_limit = 1000;
  const auto admit = [&](const char* tenant, RequestClass request_class, TimePoint now) {
    return admission.Admit(kStock, TenantName(tenant), request_class, limits, now);
  };
  SUBCASE("sheds the lowest class first as the load grows") {
    for (int i = 0; i < 6; ++i) {
      CHECK(admit("a", RequestClass::kBulk, kStart).admitted);
    }
    CHECK_FALSE(admit("a", RequestClass::kBulk, kStart).admitted);
    CHECK(admit("a", RequestClass::kStandard, kStart).admitted);
    CHECK(admit("a", RequestClass::kStandard, kStart).admitted);
    CHECK_FALSE(admit("a", RequestClass::kStandard, kStart).admitted);
    CHECK(admit("a", RequestClass::kInteractive, kStart).admitted);
    CHECK(admit("a", RequestClass::kInteractive, kStart).admitted);
    const AdmissionResult refused_result = admit("a", RequestClass::kInteractive, kStart);
    CHECK_FALSE(refused_result.admitted);
    CHECK(refused_result.refusal == AdmissionRefusal::kInFlight);
    CHECK(refused_result.retry_after > Duration{});
    admission.RecordCompletion(kStock, TenantName("a"), kStart);
    CHECK(admit("a", RequestClass::kInteractive, kStart).admitted);
  }
  SUBCASE("limits one tenant to its share while another tenant is active") {
    CHECK(admit("b", RequestClass::kInteractive, kStart).admitted);
    int admitted = 0;
    for (int i = 0; i < 10; ++i) {
      admitted += admit("a", RequestClass::kInteractive, kStart).admitted ? 1 : 0;
    }
    CHECK(admitted == 5);
    CHECK(admit("a", RequestClass::kInteractive, kStart).refusal ==
          AdmissionRefusal::kTenantInFlight);
    CHECK(admit("b", RequestClass::kInteractive, kStart).admitted);
  }
  SUBCASE("limits the request rate of a tenant and returns a retry time") {
    limits.max_in_flight = 100000;
    int admitted = 0;
    for (int i = 0; i < 2000; ++i) {
      const TimePoint now = kStart + milliseconds(i);  // 4 requests/ms; the limit is 1/ms
      for (int k = 0; k < 4; ++k) {
        admitted += admit("a", RequestClass::kInteractive, now).admitted ? 1 : 0;
      }
    }
    CHECK(admitted <= 2000 + 250);  // 1 request/ms for 2,000 ms, and a burst of 250
    CHECK(admitted >= 1990);
    const AdmissionResult refused_result =
        admit("a", RequestClass::kInteractive, kStart + milliseconds(1999));
    CHECK(refused_result.refusal == AdmissionRefusal::kRate);
    CHECK(refused_result.retry_after > Duration{});
  }
  SUBCASE("bounds the number of tracked tenants without losing counts of requests in flight") {
    AdmissionOptions options;
    options.max_tenants = 4;
    Admission small_admission(options);
    CHECK(small_admission
              .Admit(kStock, TenantName("kept"), RequestClass::kInteractive, limits, kStart)
              .admitted);
    for (int i = 0; i < 100; ++i) {
      const TenantName tenant(absl::StrCat("t", i));
      if (small_admission.Admit(kStock, tenant, RequestClass::kInteractive, limits, kStart)
              .admitted) {
        small_admission.RecordCompletion(kStock, tenant, kStart);
      }
    }
    CHECK(small_admission.CountInFlight(kStock) == 1);
    small_admission.RecordCompletion(kStock, TenantName("kept"), kStart);
    CHECK(small_admission.CountInFlight(kStock) == 0);
  }
}

TEST_CASE("weights of data centres") {
  TrafficShares shares;
  const DataCentre data_centre("dc-0");
  shares.SetTable(MakeTable(RowState::kIn, 80), kStart);
  SUBCASE("weights of the first table apply without a ramp") {
    CHECK(shares.GetWeight(kStock, data_centre, kStart) == 80);
  }
  SUBCASE("a row that is out or has weight 0 applies at once") {
    shares.SetTable(MakeTable(RowState::kOut, 80), kStart);
    CHECK(shares.GetWeight(kStock, data_centre, kStart) == 0);
    shares.SetTable(MakeTable(RowState::kIn, 0), kStart);
    CHECK(shares.GetWeight(kStock, data_centre, kStart) == 0);
  }
  SUBCASE("the weight ramps up over 30 s after a return to service") {
    // Guards against full load on a data centre that has just returned to service.
    shares.SetTable(MakeTable(RowState::kOut, 80), kStart);
    shares.SetTable(MakeTable(RowState::kIn, 80), kStart);
    CHECK(shares.GetWeight(kStock, data_centre, kStart) <= 2);
    CHECK(shares.GetWeight(kStock, data_centre, kStart + seconds(15)) == doctest::Approx(40));
    CHECK(shares.GetWeight(kStock, data_centre, kStart + seconds(30)) == doctest::Approx(80));
    CHECK(shares.GetWeight(kStock, data_centre, kStart + seconds(300)) == doctest::Approx(80));
    SUBCASE("a later table with the same row does not change the ramp") {
      shares.SetTable(MakeTable(RowState::kIn, 80), kStart + seconds(15));
      CHECK(shares.GetWeight(kStock, data_centre, kStart + seconds(15)) == doctest::Approx(40));
    }
    SUBCASE("the ramp restarts after the next return to service") {
      shares.SetTable(MakeTable(RowState::kOut, 80), kStart + seconds(40));
      shares.SetTable(MakeTable(RowState::kIn, 80), kStart + seconds(41));
      CHECK(shares.GetWeight(kStock, data_centre, kStart + seconds(41)) <= 2);
    }
  }
  SUBCASE("removing the row of a data centre that was out returns it to service with a ramp") {
    shares.SetTable(MakeTable(RowState::kOut, 80), kStart);
    shares.SetTable(std::make_shared<Table>(), kStart);
    CHECK(shares.GetWeight(kStock, data_centre, kStart) <= 2);
  }
}

TEST_CASE("selection of a replica") {
  const auto topology = testing::MakeTopology({.shards = 1, .replicas = 2});
  const std::vector<Leaf>& leaves = topology->services[0].shards[0].leaves;
  std::vector<ReplicaRoute> routes = {{.leaf = &leaves[0], .owner = VmId("vm-0")},
                                      {.leaf = &leaves[1], .owner = VmId("vm-1")}};
  ReplicaChooser chooser(3);
  LatencyTracker latency;
  const auto measure_first_share = [&] {
    int first_count = 0;
    for (int i = 0; i < 10000; ++i) {
      first_count += *chooser.Choose(routes, latency) == 0 ? 1 : 0;
    }
    return first_count / 10000.0;
  };
  SUBCASE("prefers the less loaded replica") {
    for (int i = 0; i < 8; ++i) {
      chooser.RecordStart(leaves[0].id, VmId("vm-0"));
    }
    CHECK(measure_first_share() < 0.3);
    for (int i = 0; i < 8; ++i) {
      chooser.RecordEnd(leaves[0].id, VmId("vm-0"));
    }
    CHECK(chooser.CountInFlight(leaves[0].id, VmId("vm-0")) == 0);
  }
  SUBCASE("prefers the faster replica but still samples the slower one") {
    for (int i = 0; i < 50; ++i) {
      latency.Record(leaves[0].id, milliseconds(50));
      latency.Record(leaves[1].id, milliseconds(5));
    }
    CHECK(measure_first_share() < 0.3);
    CHECK(measure_first_share() > 0.1);
  }
  SUBCASE("selects replicas by their weights") {
    routes[0].weight = 2;
    CHECK(measure_first_share() < 0.06);
    routes[0].weight = 0;
    CHECK(measure_first_share() == 0);
    routes[1].weight = 0;
    CHECK_FALSE(chooser.Choose(routes, latency).has_value());
  }
}

TEST_CASE("latency quantiles of a leaf need enough samples and use only the newest ones") {
  LatencyTracker latency;
  const LeafId leaf("l");
  for (int i = 1; i <= 19; ++i) {
    latency.Record(leaf, milliseconds(i));
  }
  CHECK_FALSE(latency.GetQuantile(leaf, 0.95).has_value());
  for (int i = 20; i <= 100; ++i) {
    latency.Record(leaf, milliseconds(i));
  }
  CHECK(*latency.GetQuantile(leaf, 0.95) >= milliseconds(90));
  CHECK(*latency.GetQuantile(leaf, 0.95) <= milliseconds(97));
  // Guards against a quantile that still contains samples from before the window.
  for (int i = 0; i < 128; ++i) {
    latency.Record(leaf, milliseconds(2));
  }
  CHECK(*latency.GetQuantile(leaf, 0.95) == milliseconds(2));
}

}  // namespace ibishold
