#include "ebonypin/core/fleet/filling_room.h"

#include <algorithm>
#include <numeric>

namespace ebonypin::core::fleet {
namespace {

double Suitability(const ImagePairs& pairs, const ImageName& serving, const ImageName& filling,
                   const Time now, const FillingRoomOptions& options) {
  if (pairs.m_pairs.count({serving, filling}) == 0) return options.m_unknown_suitability;
  const double growth = options.m_usual_load * GrowthWhenFull(pairs, serving, filling, now);
  return growth <= options.m_allowed_growth ? 1.0 : options.m_allowed_growth / growth;
}

}  // namespace

FillingRoom DescribeRoom(const ImagePairs& pairs, const std::set<ImageName>& filling,
                         const Time now, const FillingRoomOptions& options) {
  FillingRoom room;
  room.m_unknown.assign(std::max<std::size_t>(filling.size(), 1), options.m_unknown_suitability);
  if (filling.empty()) return room;
  for (const auto& [serving, idle_ms] : pairs.m_idle_ms) {
    auto& row = room.m_suitability[serving];
    row.reserve(filling.size());
    for (const auto& image : filling) {
      row.push_back(Suitability(pairs, serving, image, now, options));
    }
  }
  return room;
}

double UsablePart(const FillingRoom& room, const std::set<ImageName>& serving) {
  std::vector<double> usable(room.m_unknown.size(), 1.0);
  for (const auto& image : serving) {
    const auto found = room.m_suitability.find(image);
    const auto& row = found != room.m_suitability.end() ? found->second : room.m_unknown;
    for (std::size_t i = 0; i < usable.size(); ++i) usable[i] *= row[i];
  }
  return std::accumulate(usable.begin(), usable.end(), 0.0) / static_cast<double>(usable.size());
}

}  // namespace ebonypin::core::fleet
