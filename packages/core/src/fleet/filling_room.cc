#include "ebonypin/core/fleet/filling_room.h"

#include <algorithm>
#include <numeric>

namespace ebonypin::core::fleet {
namespace {

double Suitability(const ImagePairs& pairs, const ImageName& serving, const ImageName& filling,
                   const Time now, const FillingRoomOptions& options) {
  const double growth = options.m_usual_load * GrowthWhenFull(pairs, serving, filling, now);
  return growth <= options.m_allowed_growth ? 1.0 : options.m_allowed_growth / growth;
}

/// Returns the mean suitability of the measured pairs, which is what a pair that was never measured
/// is expected to have.
double MeanSuitability(const ImagePairs& pairs, const Time now, const FillingRoomOptions& options) {
  double sum = options.m_assumed_pairs * options.m_assumed_suitability;
  for (const auto& [images, pair] : pairs.m_pairs) {
    sum += Suitability(pairs, images.first, images.second, now, options);
  }
  return sum / (options.m_assumed_pairs + static_cast<double>(pairs.m_pairs.size()));
}

}  // namespace

FillingRoom DescribeRoom(const ImagePairs& pairs, const std::set<ImageName>& filling,
                         const Time now, const FillingRoomOptions& options) {
  FillingRoom room;
  const double unknown = MeanSuitability(pairs, now, options);
  room.m_unknown.assign(std::max<std::size_t>(filling.size(), 1), unknown);
  if (filling.empty()) return room;
  for (const auto& [serving, idle_ms] : pairs.m_idle_ms) {
    auto& row = room.m_suitability[serving];
    row.reserve(filling.size());
    for (const auto& image : filling) {
      const bool measured = pairs.m_pairs.count({serving, image}) > 0;
      row.push_back(measured ? Suitability(pairs, serving, image, now, options) : unknown);
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
