#include <LibRouting/AdmissionQueue.h>

#include <LibCore/Verify.h>

#include <tuple>

namespace jaybridge {

bool AdmissionQueue::Priority::operator<(const Priority &Other) const {
  return std::tie(Other.Weight_, Deadline_, ArrivalNumber_) <
         std::tie(Weight_, Other.Deadline_, Other.ArrivalNumber_);
}

std::optional<RequestId> AdmissionQueue::evictBelow(ClassWeight Weight) {
  if (!hasBelow(Weight))
    return std::nullopt;
  RequestId Id = ByPriority_.rbegin()->Id_;
  remove(Id);
  return Id;
}

void AdmissionQueue::push(QueuedRequest Queued) {
  JAYBRIDGE_VERIFY(!isFull());
  ArrivalCount_ += EventCount(1);
  Priority Order{Queued.Weight_, Queued.Deadline_, ArrivalCount_, Queued.Id_};
  bool IsNew =
      Entries_.emplace(Queued.Id_, Entry{Queued.Service_, Order}).second;
  JAYBRIDGE_VERIFY(IsNew);
  ByService_[Queued.Service_].insert(Order);
  ByPriority_.insert(std::move(Order));
}

std::optional<RequestId> AdmissionQueue::pop(const ServiceName &Service) {
  auto Found = ByService_.find(Service);
  if (Found == ByService_.end())
    return std::nullopt;
  RequestId Id = Found->second.begin()->Id_;
  remove(Id);
  return Id;
}

void AdmissionQueue::remove(const RequestId &Id) {
  auto Found = Entries_.find(Id);
  if (Found == Entries_.end())
    return;
  auto ServiceQueue = ByService_.find(Found->second.Service_);
  ServiceQueue->second.erase(Found->second.Priority_);
  if (ServiceQueue->second.empty())
    ByService_.erase(ServiceQueue);
  ByPriority_.erase(Found->second.Priority_);
  Entries_.erase(Found);
}

std::size_t AdmissionQueue::length(const ServiceName &Service) const {
  auto Found = ByService_.find(Service);
  return Found == ByService_.end() ? 0 : Found->second.size();
}

} // namespace jaybridge
