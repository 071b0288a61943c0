#include <LibRegistry/ServiceRegistry.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

InstanceRecord instance(const std::string &Id, std::uint64_t StartIncarnation,
                        InstanceState State = InstanceState::Serving,
                        const std::string &Address = "10.0.0.1:80") {
  return InstanceRecord{InstanceId(Id),
                        ServiceName("s"),
                        Endpoint::create(Address).takeValue(),
                        FailureDomain("d"),
                        SlotCount(4),
                        State,
                        Incarnation(StartIncarnation)};
}

struct AnnouncementCase {
  const char *Name_;
  std::vector<RegistryCommand> Before_;
  InstanceRecord Announced_;
  /// State of "a" afterwards; Left if it is not registered.
  InstanceState Expected_;
};

class AnnouncementTest : public testing::TestWithParam<AnnouncementCase> {};

// Guards against a delayed, repeated or reordered announcement that brings back
// an instance that drains, that left, or whose address was taken over.
TEST_P(AnnouncementTest, IsOrderedByIncarnationAndState) {
  ServiceRegistry Registry;
  for (const RegistryCommand &Command : GetParam().Before_)
    Registry.apply(Command);
  bool IsNewer = Registry.isNewer(GetParam().Announced_);
  RegistryChange Change = Registry.apply(StoreInstance{GetParam().Announced_});
  EXPECT_EQ(IsNewer, !Change.isEmpty());
  const InstanceRecord *Registered = Registry.find(InstanceId("a"));
  EXPECT_EQ(Registered ? Registered->State_ : InstanceState::Left,
            GetParam().Expected_);
}

constexpr auto Serving = InstanceState::Serving;
constexpr auto Draining = InstanceState::Draining;
constexpr auto Left = InstanceState::Left;

INSTANTIATE_TEST_SUITE_P(
    Orders, AnnouncementTest,
    testing::Values(
        AnnouncementCase{"First", {}, instance("a", 5), Serving},
        AnnouncementCase{"Repeated",
                         {StoreInstance{instance("a", 5)}},
                         instance("a", 5),
                         Serving},
        AnnouncementCase{"Drains",
                         {StoreInstance{instance("a", 5)}},
                         instance("a", 5, Draining),
                         Draining},
        AnnouncementCase{"LateAfterDraining",
                         {StoreInstance{instance("a", 5, Draining)}},
                         instance("a", 5),
                         Draining},
        AnnouncementCase{"RestartUnderTheSameId",
                         {StoreInstance{instance("a", 5, Draining)}},
                         instance("a", 6),
                         Serving},
        AnnouncementCase{"LateAfterRestart",
                         {StoreInstance{instance("a", 6)}},
                         instance("a", 5, Draining),
                         Serving},
        AnnouncementCase{"LateAfterLeaving",
                         {StoreInstance{instance("a", 5)},
                          RemoveInstance{InstanceId("a"), Incarnation(5)}},
                         instance("a", 5),
                         Left},
        AnnouncementCase{"BackAfterLeaving",
                         {StoreInstance{instance("a", 5)},
                          RemoveInstance{InstanceId("a"), Incarnation(5)}},
                         instance("a", 7),
                         Serving},
        AnnouncementCase{
            "AddressTakenByALaterStart",
            {StoreInstance{instance("a", 5)}, StoreInstance{instance("b", 6)}},
            instance("a", 5),
            Left},
        AnnouncementCase{"DepartureOfAnEarlierStart",
                         {StoreInstance{instance("a", 6)},
                          RemoveInstance{InstanceId("a"), Incarnation(5)}},
                         instance("a", 6),
                         Serving}),
    CaseName());

// Guards against a snapshot without the removed instances: a delayed
// announcement would then add a removed instance again.
TEST(ServiceRegistryTest, KeepsDocumentInstancesAndRemovalsInItsState) {
  ServiceRegistry Registry;
  Registry.apply(StoredDocument{ConfigurationVersion(3), "three"});
  Registry.apply(StoreInstance{instance("a", 5)});
  Registry.apply(
      StoreInstance{instance("b", 5, InstanceState::Serving, "10.0.0.2:80")});
  Registry.apply(RemoveInstance{InstanceId("a"), Incarnation(5)});
  ServiceRegistry Restored(Registry.state());
  EXPECT_EQ(Restored.version(), ConfigurationVersion(3));
  EXPECT_EQ(Restored.instances().size(), 1U);
  EXPECT_FALSE(Restored.isNewer(instance("a", 5)));
}

// Guards against an older configuration that replaces a newer one.
TEST(ServiceRegistryTest, AppliesOnlyHigherVersions) {
  ServiceRegistry Registry;
  Registry.apply(StoredDocument{ConfigurationVersion(3), "three"});
  EXPECT_TRUE(Registry.apply(StoredDocument{ConfigurationVersion(3), "other"})
                  .isEmpty());
  EXPECT_TRUE(
      Registry.apply(StoredDocument{ConfigurationVersion(2), "two"}).isEmpty());
  EXPECT_EQ(Registry.document()->Text_, "three");
  DocumentDelta WithOtherBase{
      ConfigurationVersion(2), ConfigurationVersion(9), {}};
  EXPECT_TRUE(Registry.apply(WithOtherBase).isEmpty());
}

} // namespace
} // namespace jaybridge
