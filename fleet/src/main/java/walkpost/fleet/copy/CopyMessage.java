package walkpost.fleet.copy;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What one shard says to the same shard of another member. Unknown fields are passed over. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
public interface CopyMessage { }
