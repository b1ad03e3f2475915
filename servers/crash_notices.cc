#include "servers/crash_notices.h"

#include <algorithm>

#include "core/log.h"

namespace shallot {

CrashNotices::CrashNotices(InstanceId self, MetricsRegistry* metrics)
    : self_(self),
      quarantine_(std::move(self)),
      notices_(&metrics->GetCounter("shallot_router_crash_notices_total")),
      quarantines_(&metrics->GetCounter("shallot_router_quarantines_total")) {}

bool CrashNotices::OnNotice(const CrashNotice& notice, SteadyTime now) {
  if (notice.from_router) {
    quarantine_.Merge(notice.reporter, notice.findings, now);
    return false;
  }
  const auto [known, is_new] =
      newest_.try_emplace({notice.reporter, notice.incarnation}, Received{notice, now});
  if (!is_new && known->second.notice.sequence >= notice.sequence) return false;
  known->second = {notice, now};
  if (newest_.size() > kMaxReporters) {
    newest_.erase(
        std::min_element(newest_.begin(), newest_.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
  }
  notices_->Add();
  quarantine_.Merge(notice.reporter, notice.findings, now);
  return true;
}

std::vector<CrashNotice> CrashNotices::ForNewRouter(SteadyTime now) const {
  std::vector<CrashNotice> notices;
  for (const auto& [reporter, received] : newest_) notices.push_back(received.notice);
  CrashNotice own;
  own.reporter = self_;
  own.from_router = true;
  own.findings.quarantined = quarantine_.Proven(now);
  if (!own.findings.quarantined.empty()) notices.push_back(own);
  return notices;
}

void CrashNotices::OnTick(SteadyTime now) {
  quarantine_.Update(now);
  std::erase_if(newest_, [&](const auto& entry) {
    return now - entry.second.at > Duration(kNoticeLifetime);
  });
  for (const QuarantineChange& change : quarantine_.TakeQuarantineChanges()) {
    const std::string traits = DescribeTraits(change.traits);
    const std::string because = std::string(" (") + change.reason + ")";
    if (change.begun) {
      quarantines_->Add();
      LogWarning("crashes", "refusing calls with " + traits + because);
    } else {
      LogInfo("crashes", "no longer refusing calls with " + traits + because);
    }
  }
}

}  // namespace shallot
