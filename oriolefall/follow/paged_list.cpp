#include "oriolefall/follow/paged_list.hpp"

namespace oriolefall::follow {

list_progress paged_list::add(const list_page& page)
{
    const std::size_t known_objects = objects_.size();
    for (const stored_object& object : page.objects)
        objects_.insert_or_assign(object.name, object);
    if (!page.has_more)
        return list_progress::complete;
    if (objects_.size() == known_objects ||
        objects_.size() > max_listed_objects)
        return list_progress::stalled;
    cursor_ = page.objects.back().name;
    return list_progress::more;
}

void paged_list::restart()
{
    objects_.clear();
    cursor_.clear();
}

const std::string& paged_list::cursor() const
{
    return cursor_;
}

const std::map<std::string, stored_object>& paged_list::objects() const
{
    return objects_;
}

} // namespace oriolefall::follow
